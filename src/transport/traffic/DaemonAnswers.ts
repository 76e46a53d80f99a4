/** Answers of the daemon itself to requests that are not forwarded. */
import type { Dialect } from "../../protocol/dialect/index.js";
import { Outcome } from "../../protocol/request/index.js";
import type { PartLogger } from "../logging/index.js";
import type { RouteDecision } from "../routes/index.js";
import type { CallerExchange } from "./CallerExchange.js";
import { DEFAULT_RETRY_AFTER_MS } from "./TrafficConstants.js";

export interface DaemonAnswerContext {
    readonly dialect: Dialect;
    readonly log: PartLogger;
}

/** What the log tells of a request that the daemon answers. */
export interface AnsweredRequest {
    readonly requestId: string | undefined;
    /** The decision on it, if there was one. */
    readonly decision?: Pick<RouteDecision, "confirmedAgeMs" | "version"> | undefined;
}

const UNAVAILABLE_STATUS = 503;

/** Answers 503: the request was not run and may be sent again. */
export function answerUnavailable(
    { dialect, log }: DaemonAnswerContext,
    exchange: CallerExchange,
    request: AnsweredRequest,
    detail: string,
): void {
    log.info(`request refused: ${detail}.`, describeRequest(request));
    const headers = dialect.buildRetryAfterHeaders(DEFAULT_RETRY_AFTER_MS);
    exchange.sendDaemonAnswer(UNAVAILABLE_STATUS, Outcome.NotRun, detail, headers);
}

/** Answers with a client error: the request can't be served and should not be sent again. */
export function answerClientError(
    { log }: DaemonAnswerContext,
    exchange: CallerExchange,
    request: AnsweredRequest,
    status: number,
    detail: string,
): void {
    log.info(`request rejected with ${status}: ${detail}.`, describeRequest(request));
    exchange.sendDaemonAnswer(status, Outcome.NotRun, detail);
}

function describeRequest({ decision, requestId }: AnsweredRequest): Readonly<Record<string, unknown>> {
    const ageMs = decision?.confirmedAgeMs;
    return {
        confirmedAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
        requestId,
        version: decision?.version,
    };
}
