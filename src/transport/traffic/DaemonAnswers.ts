/** Answers of the daemon itself to requests that are not forwarded. */
import type { Dialect } from "../../protocol/dialect/index.js";
import { Outcome } from "../../protocol/request/index.js";
import type { PartLogger } from "../logging/index.js";
import type { CallerExchange } from "./CallerExchange.js";
import { DEFAULT_RETRY_AFTER_MS } from "./TrafficConstants.js";

export interface DaemonAnswerContext {
    readonly dialect: Dialect;
    readonly log: PartLogger;
}

const UNAVAILABLE_STATUS = 503;

/** Answers 503: the request was not run and may be sent again. */
export function answerUnavailable(
    { dialect, log }: DaemonAnswerContext,
    exchange: CallerExchange,
    requestId: string | undefined,
    detail: string,
): void {
    log.info(`request refused: ${detail}.`, { requestId });
    const headers = dialect.buildRetryAfterHeaders(DEFAULT_RETRY_AFTER_MS);
    exchange.sendDaemonAnswer(UNAVAILABLE_STATUS, Outcome.NotRun, detail, headers);
}

/** Answers with a client error: the request can't be served and should not be sent again. */
export function answerClientError(
    { log }: DaemonAnswerContext,
    exchange: CallerExchange,
    requestId: string | undefined,
    status: number,
    detail: string,
): void {
    log.info(`request rejected with ${status}: ${detail}.`, { requestId });
    exchange.sendDaemonAnswer(status, Outcome.NotRun, detail);
}
