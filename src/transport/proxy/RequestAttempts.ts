import { AttemptEffect } from "../../coordination/balancing/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { Member } from "../../state/members/index.js";
import { buildRefusal, NO_ANSWER_STATUS } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { Exchange, Interruption } from "./Exchange.js";
import { describeInterruption } from "./Exchange.js";
import { executeOnce } from "./KeyedExecution.js";
import { executeLocally, sendToServer } from "./LocalExecution.js";
import type { ServerRequest } from "./LocalExecution.js";
import type { ProxyContext } from "./ProxyContext.js";
import { relayToOwner } from "./RelayedExecution.js";
import { isBodyReplayable } from "./RequestBody.js";
import type { RequestPlan } from "./RequestPlan.js";

/** How an attempt reached its server. */
export const Hop = {
    /** The local server. */
    Local: "local",
    /** Another server, directly under a slot lease. */
    Direct: "direct",
    /** Another server, through its owner. */
    Relayed: "relayed",
} as const;
export type Hop = (typeof Hop)[keyof typeof Hop];

/** Attempts of one request, for its access record. */
export interface AttemptSummary {
    count: number;
    hop: Hop | undefined;
    server: string | undefined;
    /** Whether an attempt may have run; a later refusal then doesn't prove that the request was not run. */
    mayHaveRun: boolean;
}

export function createAttemptSummary(): AttemptSummary {
    return { count: 0, hop: undefined, server: undefined, mayHaveRun: false };
}

/** Statuses by which a server declines a request that it can't serve now. */
const DECLINING_STATUSES = new Set([502, 503, 504]);

/** Reasons for which one server refuses a request that another may accept. */
const RETRYABLE_REASONS = new Set<RefusalReason>([
    RefusalReason.Overloaded,
    RefusalReason.ClassLimit,
    RefusalReason.ServerUnreachable,
    RefusalReason.ServerLeaving,
    RefusalReason.DaemonUnreachable,
    RefusalReason.Stopping,
    RefusalReason.Misdirected,
    RefusalReason.Unsettled,
    RefusalReason.Forbidden,
    RefusalReason.NoServer,
]);

/** Executes a repeatable request, with retries at other servers. */
export async function executeRepeatable(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
): Promise<AttemptResult> {
    const excluded = new Set<string>();
    const selectNext = (): Member | undefined => {
        const query = {
            service: plan.service.name,
            slowStartMs: plan.service.slowStartMs,
            excluded,
            now: context.options.now(),
        };
        return context.selectServer(query) ?? context.selectServer({ ...query, excluded: new Set() });
    };
    const result = await runAttempts(context, exchange, plan, attempts, selectNext, member => {
        excluded.add(member.id);
        return tryRepeatable(context, exchange, plan, attempts, member);
    });
    return result.kind === "not-run" && attempts.mayHaveRun
        ? {
            kind: "unknown",
            status: NO_ANSWER_STATUS,
            detail: `an earlier attempt may have run; then ${result.detail}`,
        }
        : result;
}

/** Executes a request at most once: at the first owner in its key's ranking, and at the next only if it was not run. */
export async function executeKeyed(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    key: string,
    attempts: AttemptSummary,
): Promise<AttemptResult> {
    const ranked = context.balancer.rankForKey(plan.service.name, key, context.options.now());
    let next = 0;
    return runAttempts(context, exchange, plan, attempts, () => ranked[next++ % Math.max(1, ranked.length)], member => {
        const request = buildServerRequest(exchange, plan, () => false);
        return tryServer(context, exchange, plan, attempts, member, () =>
            member.id === context.options.selfId
                ? { hop: Hop.Local, result: executeOnce(context, request, key) }
                : { hop: Hop.Relayed, result: relayToOwner(context, member, request, true) });
    });
}

async function runAttempts(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
    selectNext: () => Member | undefined,
    attempt: (member: Member) => Promise<AttemptResult>,
): Promise<AttemptResult> {
    const { retry } = plan.service;
    const delays = generateBackoffDelays(retry.baseDelayMs, () => retry.maximumDelayMs, context.options.random);
    for (;;) {
        const member = selectNext();
        if (member === undefined) {
            return buildRefusal(RefusalReason.NoServer, `service ${plan.service.name} has no live backend server`);
        }
        const result = await attempt(member);
        attempts.mayHaveRun ||= result.kind === "unknown" || result.kind === "withheld";
        if (result.kind !== "withheld" && !shouldRetry(context, exchange, plan, attempts, result)) {
            return result;
        }
        context.options.recorder.count({
            kind: "retried",
            reason: result.kind === "not-run" ? result.reason : result.kind,
            service: plan.service.name,
            class: plan.route.class,
        });
        if (!await waitForRetry(context, exchange, delays.next().value)) {
            return exchange.interruption === undefined
                ? result
                : describeInterruption(exchange.interruption, attempts.mayHaveRun);
        }
    }
}

/**
 * Decides on a retry, and takes it from the budget. Only a request that certainly was not run, or that is
 * repeatable, may be retried.
 */
function shouldRetry(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
    result: AttemptResult,
): boolean {
    const isSafe = result.kind === "not-run" && RETRYABLE_REASONS.has(result.reason)
        || result.kind === "unknown" && plan.route.repeatable;
    return isSafe && takeRetryIfAllowed(context, exchange, plan, attempts);
}

/** Takes a retry from the budget unless the attempts, the deadline or the body rule one out. */
function takeRetryIfAllowed(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
): boolean {
    const now = context.options.now();
    return exchange.interruption === undefined && attempts.count < plan.service.retry.attempts
        && now < exchange.deadline && isBodyReplayable(exchange.body) && context.takeRetry(plan.service.name, now);
}

function tryRepeatable(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
    member: Member,
): Promise<AttemptResult> {
    const request = buildServerRequest(
        exchange,
        plan,
        status => DECLINING_STATUSES.has(status) && takeRetryIfAllowed(context, exchange, plan, attempts),
    );
    const settings = context.options.readView().configuration?.document.classes[plan.route.class];
    const sharing = { class: plan.route.class, maximumShare: settings?.maximumShare ?? 1 };
    return tryServer(context, exchange, plan, attempts, member, () => {
        if (member.id === context.options.selfId) {
            return { hop: Hop.Local, result: executeLocally(context, request) };
        }
        return member.server !== undefined && context.leases.acquireSlot(member.id, sharing, context.readLeaseTime())
            ? { hop: Hop.Direct, result: sendUnderLease(context, member, member.server, request) }
            : { hop: Hop.Relayed, result: relayToOwner(context, member, request, false) };
    });
}

async function sendUnderLease(
    context: ProxyContext,
    member: Member,
    record: NonNullable<Member["server"]>,
    request: ServerRequest,
): Promise<AttemptResult> {
    try {
        return await sendToServer(context, record, request);
    }
    finally {
        context.leases.releaseSlot(member.id, request.class);
    }
}

function buildServerRequest(
    exchange: Exchange,
    plan: RequestPlan,
    shouldWithhold: (status: number) => boolean,
): ServerRequest {
    return {
        exchange,
        method: exchange.request.method ?? "",
        target: plan.target,
        headers: plan.headers,
        service: plan.service.name,
        version: plan.version,
        class: plan.route.class,
        shouldWithhold,
    };
}

/** Makes one attempt and records its result in the server's statistics. */
async function tryServer(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    attempts: AttemptSummary,
    member: Member,
    start: () => { readonly hop: Hop; readonly result: Promise<AttemptResult>; },
): Promise<AttemptResult> {
    const { balancer, leases, options } = context;
    const startedAt = options.now();
    // Keyed requests always go through the owner, so they create no demand for a lease.
    const isLeasable = member.id !== options.selfId && plan.route.repeatable;
    attempts.count++;
    attempts.server = member.id;
    balancer.recordStart(member.id, startedAt);
    if (isLeasable && leases.recordStart(member.id, context.readLeaseTime())) {
        context.requestLease(member.id);
    }
    const { hop, result: started } = start();
    attempts.hop = hop;
    const result = await started;
    if (isLeasable) {
        leases.recordEnd(member.id);
    }
    const endedAt = options.now();
    const effect = classifyResult(result, exchange.interruption, plan.isTimeoutShortened);
    if (balancer.recordEnd(plan.service.name, member.id, effect, endedAt - startedAt, endedAt)) {
        options.log("warn", "proxy: ejected a server after failed requests.", { server: member.id });
        options.recorder.count({
            kind: "ejected",
            reason: result.kind,
            service: plan.service.name,
            class: plan.route.class,
        });
    }
    if (result.kind === "not-run" && result.reason === RefusalReason.ServerLeaving) {
        leases.revoke(member.id);
        balancer.markLeaving(member.id, endedAt);
    }
    return result;
}

const FIRST_SERVER_ERROR_STATUS = 500;
const UNREACHABLE_REASONS = new Set<RefusalReason>([RefusalReason.ServerUnreachable, RefusalReason.DaemonUnreachable]);

/** Effect of a result on its server's ejection; what the caller caused has none, or callers could eject servers. */
function classifyResult(
    result: AttemptResult,
    interruption: Interruption | undefined,
    isTimeoutShortened: boolean,
): AttemptEffect {
    switch (result.kind) {
        case "answered":
            return result.status < FIRST_SERVER_ERROR_STATUS ? AttemptEffect.Success : AttemptEffect.Failure;
        case "not-run":
            return UNREACHABLE_REASONS.has(result.reason) ? AttemptEffect.Failure : AttemptEffect.None;
        case "cut":
            // A deadline that passes during an answer may be due to a caller that reads slowly.
            return interruption === undefined ? AttemptEffect.Failure : AttemptEffect.None;
        case "unknown":
            return interruption === undefined || interruption === "deadline" && !isTimeoutShortened
                ? AttemptEffect.Failure
                : AttemptEffect.None;
        case "withheld":
            return AttemptEffect.Failure;
    }
}

/** Waits for the backoff delay; false when the request was interrupted or its deadline comes first. */
function waitForRetry(context: ProxyContext, exchange: Exchange, delayMs: number): Promise<boolean> {
    if (exchange.interruption !== undefined || context.options.now() + delayMs >= exchange.deadline) {
        return Promise.resolve(false);
    }
    return new Promise(resolve => {
        const timer = setTimeout(() => {
            exchange.onInterrupt = undefined;
            resolve(true);
        }, delayMs);
        exchange.onInterrupt = () => {
            clearTimeout(timer);
            exchange.onInterrupt = undefined;
            resolve(false);
        };
    });
}
