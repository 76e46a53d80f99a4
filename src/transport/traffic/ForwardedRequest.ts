/**
 * Has one request of a caller executed: places it, places it again where it certainly was not run or
 * may run again, and tells the caller how it ended as soon as that is known.
 */
import type { RouteStatistics } from "../../coordination/placement/index.js";
import { computeRetryAfter, selectPlacement } from "../../coordination/placement/index.js";
import type { OwnerLoad, Placement } from "../../coordination/placement/index.js";
import type { RequestRecorder } from "../../coordination/recording/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { Outcome, RefusalReason } from "../../protocol/request/index.js";
import type { RoutePolicy } from "../../state/traffic/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import type { AnswerHead, OwnedHandle, OwnedRequest, OwnerRefusal } from "../ownership/index.js";
import type { SessionRequestEvents } from "../sessions/index.js";
import type { CallerExchange } from "./CallerExchange.js";
import { PlacementTrail } from "./PlacementTrail.js";
import type { Owner, ServerDirectory } from "./ServerDirectory.js";
import {
    MAXIMUM_OFFERS,
    SHORTEST_HEDGE_MS,
    SHORTEST_RETRY_MS,
    UNKNOWN_RETRY_MS,
    VERDICT_GRACE_MS,
} from "./TrafficConstants.js";

export interface ForwardingContext {
    readonly dialect: Dialect;
    readonly directory: ServerDirectory;
    readonly selfId: string;
    readonly recorder: RequestRecorder;
    readonly now: () => number;
    readonly random: () => number;
    /** Takes one repeat from the service's budget; false when it is spent. */
    takeRepeat(service: string): boolean;
}

/** Where a request goes and what limits hold for it. */
export interface ForwardingPlan {
    readonly route: RoutePolicy;
    /** Revision of the configuration that the route is of. */
    readonly revision: number;
    readonly service: string;
    readonly requestId: string;
    readonly method: string;
    readonly target: string;
    readonly headers: readonly string[];
    readonly body: Uint8Array;
    readonly callerService: string;
    readonly isNested: boolean;
    readonly arrivedAt: number;
    /** Time until which an answer is in time. */
    readonly targetAt: number;
    /** End of the route's timeout or of the caller's time, whichever is first. */
    readonly deadlineAt: number;
    /** End of the caller's time. */
    readonly callerDeadlineAt: number;
    readonly statistics: RouteStatistics;
}

interface Attempt {
    readonly owner: Owner;
    readonly sentAt: number;
    handle: OwnedHandle | undefined;
    isEnded: boolean;
    isTaken: boolean;
}

interface KeptAnswer {
    readonly head: AnswerHead;
    readonly body: Uint8Array;
    readonly owner: Owner;
}

/** How a request reached its server. */
const Hop = { Local: "local", Relayed: "relayed" } as const;
const FIRST_SERVER_FAILURE = 500;
const BAD_GATEWAY_STATUS = 502;
const UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;

export class ForwardedRequest {
    readonly #context: ForwardingContext;
    readonly #plan: ForwardingPlan;
    readonly #exchange: CallerExchange;
    readonly #onDone: () => void;
    readonly #attempts = new Set<Attempt>();
    /** Owners that refused, or whose server failed or declined the request. */
    readonly #excluded = new Set<string>();
    readonly #trail = new PlacementTrail();
    #offers = 0;
    /** Servers that the request may have reached. */
    #serversReached = 0;
    #mayHaveRun = false;
    #refusals: OwnerRefusal[] = [];
    #streaming: Attempt | undefined;
    #kept: KeptAnswer | undefined;
    #lastDetail = "";
    #queuedMs = 0;
    #deadlineTimer: NodeJS.Timeout | undefined;
    #hedgeTimer: NodeJS.Timeout | undefined;
    #isDone = false;
    #streamedBytes = 0;

    constructor(context: ForwardingContext, plan: ForwardingPlan, exchange: CallerExchange, onDone: () => void) {
        this.#context = context;
        this.#plan = plan;
        this.#exchange = exchange;
        this.#onDone = onDone;
    }

    start(): void {
        const now = this.#context.now();
        this.#exchange.onLeave = () => this.#leave();
        this.#exchange.onDrain = () => this.#streaming?.handle?.resume();
        this.#deadlineTimer = setTimeout(
            () => this.#expire(),
            Math.max(0, this.#plan.deadlineAt - now) + VERDICT_GRACE_MS,
        );
        this.#place(false);
        this.#scheduleHedge();
    }

    /** Places the request at the best owner; without one, concludes unless an attempt is still open. */
    #place(isRepeat: boolean): void {
        if (this.#isDone) {
            return;
        }
        const placement = this.#choosePlacement(isRepeat);
        if (placement === undefined) {
            if (this.#attempts.size === 0) {
                this.#conclude();
            }
            return;
        }
        this.#send(placement, "first");
    }

    #choosePlacement(isRepeat: boolean): Placement<Owner> | undefined {
        const { directory, random } = this.#context;
        const { deadlineAt, route, service, statistics, targetAt } = this.#plan;
        const now = this.#context.now();
        const leftMs = deadlineAt - now;
        if (this.#offers >= MAXIMUM_OFFERS || this.#offers > 0 && leftMs < SHORTEST_RETRY_MS) {
            return undefined;
        }
        const query = {
            budgetLeftMs: leftMs,
            isNested: this.#plan.isNested,
            bytes: this.#plan.body.length + statistics.answerBytes,
            route: route.name,
            targetLeftMs: targetAt - now,
        };
        const placement = selectPlacement(directory.listCandidates(service, this.#excluded, now), query, now, random)
            ?? selectPlacement(directory.listEjected(service, this.#excluded, now), query, now, random);
        if (placement === undefined) {
            return undefined;
        }
        if (isRepeat && !this.#mayRepeat()) {
            return undefined;
        }
        return placement;
    }

    /** Whether the request may reach one more server. */
    #mayRepeat(): boolean {
        const { route, service } = this.#plan;
        return this.#serversReached === 0
            || this.#serversReached < route.maximumServers && this.#context.takeRepeat(service);
    }

    #send({ candidate: owner, latencyMs }: Placement<Owner>, cause: string): void {
        const now = this.#context.now();
        const attempt: Attempt = { handle: undefined, isEnded: false, isTaken: false, owner, sentAt: now };
        const {
            body,
            callerService,
            deadlineAt,
            headers,
            isNested,
            method,
            requestId,
            route,
            service,
            target,
            targetAt,
        } = this.#plan;
        const request: OwnedRequest = {
            body,
            budgetLeftMs: deadlineAt - now,
            callerService,
            headers,
            isNested,
            kind: route.kind,
            method,
            priority: route.priority,
            requestId,
            route: route.name,
            service,
            target,
            targetLeftMs: targetAt - now,
        };
        this.#trail.recordPlacement(owner, cause, latencyMs, now);
        this.#offers++;
        this.#serversReached++;
        this.#excluded.add(owner.id);
        this.#attempts.add(attempt);
        owner.statistics.recordStart(now);
        const handle = owner.submit(request, this.#buildEvents(attempt));
        attempt.handle = handle;
        if (attempt.isTaken) {
            handle.proceed();
        }
        if (attempt.isEnded) {
            handle.cancel();
        }
    }

    #buildEvents(attempt: Attempt): SessionRequestEvents {
        return {
            onAnswer: (head, body, load) => this.#takeAnswer(attempt, head, body, load),
            onCut: (detail, load) => {
                const isStreaming = this.#streaming === attempt;
                if (this.#end(attempt, load, detail) && this.#isBegun(isStreaming, detail)) {
                    this.#context.directory.recordFailure(attempt.owner);
                    this.#finish(
                        attempt.owner,
                        BAD_GATEWAY_STATUS,
                        Outcome.Unknown,
                        detail,
                        () => this.#exchange.cut(),
                    );
                }
            },
            onData: body => {
                this.#streamedBytes += body.length;
                if (this.#streaming === attempt && !this.#exchange.sendData(body)) {
                    attempt.handle?.pause();
                }
            },
            onDeclined: (detail, load) => {
                if (this.#end(attempt, load, detail)) {
                    this.#context.directory.recordFailure(attempt.owner);
                    this.#refusals.push({
                        detail,
                        reason: RefusalReason.Overloaded,
                        retryAfterMs: load?.waits.inTimeMs ?? UNKNOWN_RETRY_MS,
                    });
                    this.#placeAgain(detail, "declined");
                }
            },
            onEnd: load => {
                const isStreaming = this.#streaming === attempt;
                if (
                    this.#end(attempt, load, "answered")
                    && this.#isBegun(isStreaming, "the answer ended without a beginning")
                ) {
                    this.#recordSuccess(attempt, this.#streamedBytes);
                    this.#finish(attempt.owner, 200, Outcome.Answered, "", () => this.#exchange.sendEnd());
                }
            },
            onHead: head => this.#beginStream(attempt, head),
            onOffer: () => {
                if (!attempt.isEnded) {
                    this.#mayHaveRun = true;
                    attempt.isTaken = true;
                    attempt.handle?.proceed();
                }
            },
            onRefused: (refusal, load) => this.#takeRefusal(attempt, refusal, load),
            onStalled: () => {
                if (isRepeatable(this.#plan.route.kind) && this.#streaming === undefined) {
                    this.#repeat("stalled");
                }
            },
            onUnknown: (detail, load) => {
                if (this.#end(attempt, load, detail)) {
                    this.#mayHaveRun = true;
                    this.#context.directory.recordFailure(attempt.owner);
                    this.#placeAgainIfRepeatable(detail);
                }
            },
        };
    }

    #takeAnswer(attempt: Attempt, head: AnswerHead, body: Uint8Array, load: OwnerLoad | undefined): void {
        if (!this.#end(attempt, load, `status ${head.status}`)) {
            return;
        }
        this.#queuedMs = head.queuedMs;
        if (head.status < FIRST_SERVER_FAILURE) {
            this.#recordSuccess(attempt, body.length);
            attempt.owner.statistics.recordSuccess(this.#plan.route.name, head.workMs, this.#context.now());
            this.#deliver({ body, head, owner: attempt.owner });
            return;
        }
        this.#context.directory.recordFailure(attempt.owner);
        this.#mayHaveRun = true;
        this.#kept = { body, head, owner: attempt.owner };
        if (isRepeatable(this.#plan.route.kind)) {
            this.#placeAgain(`the server failed with status ${head.status}`, "failed");
        }
        else {
            this.#concludeIfIdle();
        }
    }

    #takeRefusal(attempt: Attempt, refusal: OwnerRefusal, load: OwnerLoad | undefined): void {
        if (!this.#end(attempt, load, `${refusal.reason}: ${refusal.detail}`)) {
            return;
        }
        this.#serversReached--;
        if (attempt.isTaken) {
            // The offer was withdrawn, or the server could not be reached; both mean that nothing was sent.
            this.#mayHaveRun = [...this.#attempts].some(other => other.isTaken);
        }
        attempt.owner.statistics.ejection.recordInconclusive();
        this.#refusals.push(refusal);
        this.#placeAgain(refusal.detail, refusal.reason);
    }

    #beginStream(attempt: Attempt, head: AnswerHead): void {
        if (attempt.isEnded || this.#isDone || this.#streaming !== undefined) {
            return;
        }
        this.#streaming = attempt;
        this.#queuedMs = head.queuedMs;
        attempt.owner.statistics.recordSuccess(this.#plan.route.name, head.workMs, this.#context.now());
        for (const other of [...this.#attempts]) {
            if (other !== attempt) {
                this.#cancel(other);
            }
        }
        this.#exchange.sendHead(head);
    }

    /** An end without its beginning is no answer; the request may have run. */
    #isBegun(isStreaming: boolean, detail: string): boolean {
        if (!isStreaming) {
            this.#mayHaveRun = true;
            this.#placeAgainIfRepeatable(detail);
        }
        return isStreaming;
    }

    #recordSuccess(attempt: Attempt, bytes: number): void {
        this.#plan.statistics.recordAnswer(this.#context.now() - attempt.sentAt, bytes);
    }

    #placeAgainIfRepeatable(detail: string): void {
        if (isRepeatable(this.#plan.route.kind)) {
            this.#placeAgain(detail, "unknown");
        }
        else {
            this.#lastDetail = detail;
            this.#concludeIfIdle();
        }
    }

    /** Places the request again after an attempt ended without an answer. */
    #placeAgain(detail: string, reason: string): void {
        this.#lastDetail = detail;
        this.#repeat(reason);
        this.#concludeIfIdle();
    }

    #repeat(reason: string): void {
        const { route, service } = this.#plan;
        const before = this.#attempts.size;
        if (this.#isDone) {
            return;
        }
        const placement = this.#choosePlacement(this.#serversReached > 0);
        if (placement !== undefined) {
            this.#context.recorder.count({ class: route.name, kind: "retried", reason, service });
            this.#send(placement, reason);
        }
        else if (before === 0) {
            this.#conclude();
        }
    }

    #concludeIfIdle(): void {
        if (!this.#isDone && this.#attempts.size === 0) {
            this.#conclude();
        }
    }

    /** Sends a second copy when the answer is probably lost. */
    #scheduleHedge(): void {
        const overdueMs = this.#plan.statistics.estimateHedgeDelay();
        if (overdueMs === undefined || !isRepeatable(this.#plan.route.kind) || this.#isDone) {
            return;
        }
        this.#hedgeTimer = setTimeout(() => {
            if (this.#streaming === undefined) {
                this.#repeat("overdue");
            }
        }, Math.max(SHORTEST_HEDGE_MS, overdueMs));
    }

    /** Ends an attempt; false when it had ended before. */
    #end(attempt: Attempt, load: OwnerLoad | undefined, end: string): boolean {
        if (attempt.isEnded) {
            return false;
        }
        this.#trail.recordEnd(attempt.owner.id, end);
        attempt.isEnded = true;
        this.#attempts.delete(attempt);
        attempt.owner.statistics.recordEnd();
        if (load !== undefined) {
            this.#context.directory.recordLoad(attempt.owner.id, load);
        }
        return !this.#isDone;
    }

    #cancel(attempt: Attempt): void {
        if (!attempt.isEnded) {
            attempt.isEnded = true;
            this.#attempts.delete(attempt);
            attempt.owner.statistics.recordEnd();
            attempt.owner.statistics.ejection.recordInconclusive();
            attempt.owner.statistics.recordUnfinished(this.#plan.route.name, this.#context.now() - attempt.sentAt);
            attempt.handle?.cancel();
        }
    }

    #deliver({ body, head, owner }: KeptAnswer): void {
        this.#finish(owner, head.status, Outcome.Answered, "", () => this.#exchange.sendAnswer(head, body));
    }

    /** No attempt is open and none can follow: tells the caller. */
    #conclude(): void {
        if (this.#kept !== undefined) {
            this.#deliver(this.#kept);
            return;
        }
        if (this.#mayHaveRun) {
            const detail = this.#lastDetail;
            this.#finish(
                undefined,
                BAD_GATEWAY_STATUS,
                Outcome.Unknown,
                detail,
                () => this.#exchange.sendOwn(BAD_GATEWAY_STATUS, Outcome.Unknown, detail),
            );
            return;
        }
        this.#refuse();
    }

    #refuse(): void {
        const { service } = this.#plan;
        const now = this.#context.now();
        const known = this.#refusals.map(({ retryAfterMs }) => retryAfterMs);
        const capacityInMs = known.length > 0
            ? Math.min(...known)
            : this.#context.directory.estimateCapacity(service) ?? UNKNOWN_RETRY_MS;
        const returnMs = computeRetryAfter(capacityInMs, this.#plan.callerDeadlineAt - now, this.#context.random);
        const detail = this.#refusals.at(-1)?.detail ?? `no server of ${service} can serve the request in time`;
        const reason = this.#refusals.at(-1)?.reason ?? RefusalReason.NoServer;
        this.#context.recorder.count({ class: this.#plan.route.name, kind: "refused", reason, service });
        this.#finish(undefined, UNAVAILABLE_STATUS, Outcome.NotRun, detail, () =>
            this.#exchange.sendOwn(
                UNAVAILABLE_STATUS,
                Outcome.NotRun,
                detail,
                this.#context.dialect.buildRetryAfterHeaders(returnMs),
            ));
    }

    /** The time is over. Nothing that runs is waited for any longer. */
    #expire(): void {
        if (this.#isDone || this.#streaming !== undefined) {
            return;
        }
        const mayRun = this.#mayHaveRun
            || isRepeatable(this.#plan.route.kind) && this.#attempts.size > 0
            || [...this.#attempts].some(({ isTaken }) => isTaken);
        for (const attempt of [...this.#attempts]) {
            if (
                this.#context.now() - attempt.sentAt
                    > attempt.owner.statistics.estimateWorkTime(this.#plan.route.name, 0)
            ) {
                this.#context.directory.recordFailure(attempt.owner);
            }
            this.#cancel(attempt);
        }
        if (this.#kept !== undefined) {
            this.#deliver(this.#kept);
        }
        else if (mayRun) {
            this.#finish(
                undefined,
                GATEWAY_TIMEOUT_STATUS,
                Outcome.Unknown,
                "the time is over",
                () => this.#exchange.sendOwn(GATEWAY_TIMEOUT_STATUS, Outcome.Unknown, "the time is over"),
            );
        }
        else {
            this.#refuse();
        }
    }

    /** The caller has gone away. */
    #leave(): void {
        if (this.#isDone) {
            return;
        }
        this.#finish(undefined, 0, Outcome.Unknown, "the caller has left", () => undefined);
    }

    #finish(owner: Owner | undefined, status: number, outcome: Outcome, detail: string, answer: () => void): void {
        if (this.#isDone) {
            return;
        }
        this.#isDone = true;
        clearTimeout(this.#deadlineTimer);
        clearTimeout(this.#hedgeTimer);
        for (const attempt of [...this.#attempts]) {
            this.#cancel(attempt);
        }
        answer();
        const { arrivedAt, method, requestId, route, service, target } = this.#plan;
        this.#context.recorder.record({
            attempts: this.#offers,
            class: route.name,
            detail: detail === "" ? undefined : detail,
            hop: owner === undefined ? undefined : owner.id === this.#context.selfId ? Hop.Local : Hop.Relayed,
            latencyMs: this.#context.now() - arrivedAt,
            method,
            outcome,
            path: target,
            placements: this.#trail.read(status < FIRST_SERVER_FAILURE && outcome === Outcome.Answered),
            queuedMs: this.#queuedMs,
            requestId,
            revision: this.#plan.revision,
            route: route.name,
            server: owner?.id,
            service,
            status,
        });
        this.#onDone();
    }
}
