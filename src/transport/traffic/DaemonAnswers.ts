/** Answers of the daemon itself to requests that are not forwarded. */
import type { RequestRecorder } from "../../coordination/recording/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { getRefusalStatus, Outcome, RefusalReason } from "../../protocol/request/index.js";
import type { Tenant } from "../../state/traffic/index.js";
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

/** A request that is over the limit of its tenant. */
export interface OverQuotaRequest {
    readonly requestId: string;
    readonly target: string;
    readonly arrivedAt: number;
    readonly decision: RouteDecision;
    readonly service: string;
    readonly tenant: Tenant;
}

/** Answers 429 with the time after which the tenant's limit admits the request; it was not run. */
export function answerOverQuota(
    { dialect, log, recorder }: DaemonAnswerContext & { readonly recorder: RequestRecorder; },
    exchange: CallerExchange,
    { arrivedAt, decision, requestId, service, target, tenant }: OverQuotaRequest,
    retryAfterMs: number,
    now: number,
): void {
    const status = getRefusalStatus(RefusalReason.ClassLimit);
    const detail = `the limit of tenant ${tenant.name} is used up`;
    const route = decision.route?.name;
    log.debug(`request refused: ${detail}.`, { requestId, retryAfterMs: Math.round(retryAfterMs) });
    recorder.count({ class: route, kind: "refused", reason: RefusalReason.ClassLimit, service });
    exchange.sendDaemonAnswer(status, Outcome.NotRun, detail, dialect.buildRetryAfterHeaders(retryAfterMs));
    recorder.record({
        attempts: 0,
        class: route,
        confirmedAgeMs: decision.confirmedAgeMs,
        detail,
        hop: undefined,
        latencyMs: now - arrivedAt,
        method: exchange.request.method ?? "",
        outcome: Outcome.NotRun,
        path: target,
        queuedMs: 0,
        requestId,
        revision: decision.revision,
        route,
        server: undefined,
        service,
        status,
        tenant: tenant.name,
        version: decision.version,
    });
}

function describeRequest({ decision, requestId }: AnsweredRequest): Readonly<Record<string, unknown>> {
    const ageMs = decision?.confirmedAgeMs;
    return {
        confirmedAgeMs: ageMs === undefined ? undefined : Math.round(ageMs),
        requestId,
        version: decision?.version,
    };
}
