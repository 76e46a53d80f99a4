import { AttemptEffect } from "../../coordination/balancing/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { Member } from "../../state/members/index.js";
import { NO_ANSWER_STATUS, refuse } from "./AttemptResult.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { Exchange, Interruption } from "./Exchange.js";
import { describeInterruption } from "./Exchange.js";
import { executeOnce } from "./KeyedExecution.js";
import { executeLocally, sendToServer } from "./LocalExecution.js";
import type { ServerRequest } from "./LocalExecution.js";
import type { ProxyContext } from "./ProxyContext.js";
import { executeByOwner } from "./RelayedExecution.js";
import { isBodyReplayable } from "./RequestBody.js";
import type { RequestPlan } from "./RequestPlan.js";

/** How an attempt reached its server. */
export const Hop = {
    /** The server beside this daemon. */
    Local: "local",
    /** Another server, under a slot lease. */
    Direct: "direct",
    /** Another server, through its owner. */
    Relayed: "relayed",
} as const;
export type Hop = (typeof Hop)[keyof typeof Hop];

/** What the record of a request says about its attempts. */
export interface AttemptLog {
    attempts: number;
    hop: Hop | undefined;
    server: string | undefined;
    /** Whether an attempt may have run; a later refusal then no longer proves that the request was not run. */
    mayHaveRun: boolean;
}

export function createAttemptLog(): AttemptLog {
    return { attempts: 0, hop: undefined, server: undefined, mayHaveRun: false };
}

/** Servers that answer with these statuses say that they cannot serve now. */
const DECLINING_STATUSES = new Set([502, 503, 504]);

/** Refusals that another server may not repeat. */
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

/** Runs a request that may be repeated, with retries at other servers. */
export async function runRepeatable(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    log: AttemptLog,
): Promise<AttemptResult> {
    const excluded = new Set<string>();
    const chooseNext = (): Member | undefined => {
        const query = {
            service: plan.service.name,
            slowStartMs: plan.service.slowStartMs,
            excluded,
            now: context.options.now(),
        };
        return context.chooseServer(query) ?? context.chooseServer({ ...query, excluded: new Set() });
    };
    const result = await runAttempts(context, exchange, plan, log, chooseNext, member => {
        excluded.add(member.id);
        return tryRepeatable(context, exchange, plan, log, member);
    });
    return result.kind === "not-run" && log.mayHaveRun
        ? {
            kind: "unknown",
            status: NO_ANSWER_STATUS,
            detail: `an earlier attempt may have run; then ${result.detail}`,
        }
        : result;
}

/** Runs a request that may run once: at the owner that its key leads to, and at the next only when it was not run. */
export async function runKeyed(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    key: string,
    log: AttemptLog,
): Promise<AttemptResult> {
    const ranked = context.balancer.rankForKey(plan.service.name, key, context.options.now());
    let next = 0;
    return runAttempts(context, exchange, plan, log, () => ranked[next++ % Math.max(1, ranked.length)], member => {
        const request = buildServerRequest(exchange, plan, () => false);
        return tryServer(context, exchange, plan, log, member, () =>
            member.id === context.options.selfId
                ? { hop: Hop.Local, result: executeOnce(context, request, key) }
                : { hop: Hop.Relayed, result: executeByOwner(context, member, request, true) });
    });
}

async function runAttempts(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    log: AttemptLog,
    chooseNext: () => Member | undefined,
    run: (member: Member) => Promise<AttemptResult>,
): Promise<AttemptResult> {
    const { retry } = plan.service;
    const delays = generateBackoffDelays(retry.baseDelayMs, retry.maximumDelayMs, context.options.random);
    for (;;) {
        const member = chooseNext();
        if (member === undefined) {
            return refuse(RefusalReason.NoServer, `service ${plan.service.name} has no live backend server`);
        }
        const result = await run(member);
        log.mayHaveRun ||= result.kind === "unknown" || result.kind === "withheld";
        if (result.kind !== "withheld" && !shouldRetry(context, exchange, plan, log, result)) {
            return result;
        }
        context.options.recorder.count({
            kind: "retried",
            reason: result.kind === "not-run" ? result.reason : result.kind,
            service: plan.service.name,
            class: plan.route.class,
        });
        if (!await sleep(context, exchange, delays.next().value)) {
            return exchange.interruption === undefined
                ? result
                : describeInterruption(exchange.interruption, log.mayHaveRun);
        }
    }
}

/** Only what certainly was not run, or may run again, is retried, within the attempts and the budget. */
function shouldRetry(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    log: AttemptLog,
    result: AttemptResult,
): boolean {
    const isSafe = result.kind === "not-run" && RETRYABLE_REASONS.has(result.reason)
        || result.kind === "unknown" && plan.route.repeatable;
    return isSafe && hasRetryLeft(context, exchange, plan, log);
}

function hasRetryLeft(context: ProxyContext, exchange: Exchange, plan: RequestPlan, log: AttemptLog): boolean {
    const now = context.options.now();
    return exchange.interruption === undefined && log.attempts < plan.service.retry.attempts
        && now < exchange.deadline && isBodyReplayable(exchange.body) && context.takeRetry(plan.service.name, now);
}

function tryRepeatable(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    log: AttemptLog,
    member: Member,
): Promise<AttemptResult> {
    const request = buildServerRequest(
        exchange,
        plan,
        status => DECLINING_STATUSES.has(status) && hasRetryLeft(context, exchange, plan, log),
    );
    const settings = context.options.readView().configuration?.document.classes[plan.route.class];
    const sharing = { class: plan.route.class, maximumShare: settings?.maximumShare ?? 1 };
    return tryServer(context, exchange, plan, log, member, () => {
        if (member.id === context.options.selfId) {
            return { hop: Hop.Local, result: executeLocally(context, request) };
        }
        return member.server !== undefined && context.leases.acquireSlot(member.id, sharing, context.options.now())
            ? { hop: Hop.Direct, result: sendUnderLease(context, member, member.server, request) }
            : { hop: Hop.Relayed, result: executeByOwner(context, member, request, false) };
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
        class: plan.route.class,
        shouldWithhold,
    };
}

/** Makes one attempt and records what it shows about the server. */
async function tryServer(
    context: ProxyContext,
    exchange: Exchange,
    plan: RequestPlan,
    log: AttemptLog,
    member: Member,
    start: () => { readonly hop: Hop; readonly result: Promise<AttemptResult>; },
): Promise<AttemptResult> {
    const { balancer, leases, options } = context;
    const startedAt = options.now();
    // Requests that run once never go by a lease, so they create no demand for one.
    const isLeasable = member.id !== options.selfId && plan.route.repeatable;
    log.attempts++;
    log.server = member.id;
    balancer.recordStart(member.id, startedAt);
    if (isLeasable && leases.recordStart(member.id, startedAt)) {
        context.applyForLease(member.id);
    }
    const { hop, result: started } = start();
    log.hop = hop;
    const result = await started;
    if (isLeasable) {
        leases.recordEnd(member.id);
    }
    const endedAt = options.now();
    const effect = classifyResult(result, exchange.interruption, plan.isShortened);
    if (balancer.recordEnd(plan.service.name, member.id, effect, endedAt - startedAt, endedAt)) {
        options.log("warn", "proxy: ejected a server by its results.", { server: member.id });
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

/** What a result shows about its server. What the caller caused shows nothing, or callers could eject servers. */
function classifyResult(
    result: AttemptResult,
    interruption: Interruption | undefined,
    isShortened: boolean,
): AttemptEffect {
    switch (result.kind) {
        case "answered":
            return result.status < FIRST_SERVER_ERROR_STATUS ? AttemptEffect.Success : AttemptEffect.Failure;
        case "not-run":
            return UNREACHABLE_REASONS.has(result.reason) ? AttemptEffect.Failure : AttemptEffect.None;
        case "cut":
            // A deadline that passes within an answer may be due to a caller that reads slowly.
            return interruption === undefined ? AttemptEffect.Failure : AttemptEffect.None;
        case "unknown":
            return interruption === undefined || interruption === "deadline" && !isShortened
                ? AttemptEffect.Failure
                : AttemptEffect.None;
        case "withheld":
            return AttemptEffect.Failure;
    }
}

/** Waits; false when the request was given up meanwhile. */
function sleep(context: ProxyContext, exchange: Exchange, delayMs: number): Promise<boolean> {
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
