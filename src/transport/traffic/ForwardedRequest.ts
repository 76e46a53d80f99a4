/**
 * Forwards one request of a caller: places it at an owner, retries it if it was certainly not run or
 * is repeatable, and answers the caller as soon as the outcome is known.
 */
import { computeRetryAfter } from "../../coordination/placement/index.js";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import { parseStatedLength } from "../../protocol/framing/index.js";
import { getRefusalStatus, Outcome, RefusalReason } from "../../protocol/request/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import type { AnswerHead, OwnerRefusal } from "../ownership/index.js";
import type { SessionRequestEvents } from "../sessions/index.js";
import { AnswerStream } from "./AnswerStream.js";
import type { CallerExchange } from "./CallerExchange.js";
import type { ForwardingContext, ForwardingPlan } from "./ForwardingPlan.js";
import { selectOwner } from "./OwnerSelection.js";
import type { SelectedOwner } from "./OwnerSelection.js";
import { HEDGE_CAUSE, RequestAttempts } from "./RequestAttempts.js";
import type { Attempt } from "./RequestAttempts.js";
import { buildRequestRecord, findFault, FIRST_SERVER_FAILURE, Hop } from "./RequestEnd.js";
import { RequestHedge } from "./RequestHedge.js";
import type { Owner } from "./ServerDirectory.js";
import {
    DEADLINE_GRACE_MS,
    DEFAULT_RETRY_AFTER_MS,
    MAXIMUM_PLACEMENTS,
    MAXIMUM_REROUTES,
    MINIMUM_RETRY_TIME_MS,
    STALLED_STREAM_MS,
} from "./TrafficConstants.js";

interface ServerAnswer {
    readonly head: AnswerHead;
    readonly body: Uint8Array;
    readonly owner: Owner;
}

/** Whether a request was refused for what it does to servers, so that no other server will take it. */
function isRestriction({ reason }: OwnerRefusal): boolean {
    return reason === RefusalReason.Quarantined || reason === RefusalReason.Suspected;
}

const BAD_GATEWAY_STATUS = 502;
const UNAVAILABLE_STATUS = 503;
const GATEWAY_TIMEOUT_STATUS = 504;

export class ForwardedRequest {
    readonly #context: ForwardingContext;
    readonly #plan: ForwardingPlan;
    readonly #exchange: CallerExchange;
    readonly #onComplete: () => void;
    readonly #attempts: RequestAttempts;
    /** Whether an attempt ended after it may have run. */
    #hasUnknownOutcome = false;
    #refusals: OwnerRefusal[] = [];
    #stream: AnswerStream | undefined;
    #fallbackAnswer: ServerAnswer | undefined;
    #lastDetail = "";
    /** Of the last answer. */
    #head: AnswerHead | undefined;
    #cancelDeadline: () => void = () => undefined;
    readonly #hedge: RequestHedge;
    #isComplete = false;

    constructor(context: ForwardingContext, plan: ForwardingPlan, exchange: CallerExchange, onComplete: () => void) {
        this.#attempts = new RequestAttempts(context, plan);
        this.#hedge = new RequestHedge(context, plan, this.#attempts, {
            repeat: () => this.#placeRetry("overdue"),
            send: placement => this.#send(placement, HEDGE_CAUSE),
        });
        this.#context = context;
        this.#plan = plan;
        this.#exchange = exchange;
        this.#onComplete = onComplete;
    }

    start(): void {
        const now = this.#context.now();
        this.#exchange.onDisconnect = () => this.#handleDisconnect();
        this.#exchange.onDrain = () => this.#stream?.attempt.handle?.resume();
        this.#cancelDeadline = this.#context.timers.after(
            Math.max(0, this.#plan.deadlineAt - now) + DEADLINE_GRACE_MS,
            () => this.#handleDeadline(),
        );
        this.#place(false);
        if (!this.#isComplete) {
            this.#hedge.schedule();
        }
    }

    /** Places the request at the best owner; without one, completes it unless an attempt is still open. */
    #place(isRetry: boolean): void {
        if (this.#isComplete || this.#handleRestriction()) {
            return;
        }
        const placement = this.#selectPlacement(isRetry);
        if (placement === undefined) {
            if (this.#attempts.openCount === 0) {
                this.#completeAfterLastAttempt();
            }
            return;
        }
        this.#send(placement, "first");
    }

    #selectPlacement(isRetry: boolean): SelectedOwner | undefined {
        const { deadlineAt, route, service, statistics, targetAt } = this.#plan;
        const now = this.#context.now();
        const leftMs = deadlineAt - now;
        const { placementCount } = this.#attempts;
        if (placementCount >= MAXIMUM_PLACEMENTS || placementCount > 0 && leftMs < MINIMUM_RETRY_TIME_MS) {
            return undefined;
        }
        const suspicion = this.#context.findSuspicion(this.#plan);
        if (suspicion?.isOnTrial === true && this.#attempts.serversReached > 0) {
            return undefined;
        }
        const targetLeftMs = targetAt - now;
        const placement = selectOwner(this.#context, this.#plan, {
            budgetLeftMs: leftMs,
            bytes: this.#plan.body.length + statistics.answerBytes,
            excluded: this.#attempts.excludedOwners,
            hasCrossed: this.#attempts.hasCrossed,
            isNested: this.#plan.isNested,
            now,
            route: route.name,
            suspicion,
            targetLeftMs,
        });
        if (placement === undefined || placement.latencyMs > targetLeftMs) {
            this.#context.widen(service);
        }
        if (placement === undefined) {
            return undefined;
        }
        if (isRetry && !this.#mayRetry()) {
            return undefined;
        }
        return placement;
    }

    /** Whether the request may reach one more server. */
    #mayRetry(): boolean {
        const { route, service } = this.#plan;
        return this.#attempts.serversReached === 0
            || this.#attempts.serversReached < route.maximumServers && this.#context.takeRetry(service);
    }

    #send(placement: SelectedOwner, cause: string): void {
        this.#attempts.send(placement, cause, attempt => this.#buildEvents(attempt));
    }

    #buildEvents(attempt: Attempt): SessionRequestEvents {
        return {
            onAnswer: (head, body, load) => this.#handleAnswer(attempt, head, body, load),
            onAnswerAborted: (detail, load) => {
                const isStreaming = this.#stream?.attempt === attempt;
                if (this.#endAttempt(attempt, load, detail) && this.#requireStreamHead(isStreaming, detail)) {
                    this.#resetStream(attempt, detail);
                }
            },
            onData: body => this.#handleData(attempt, body),
            onDeclined: (detail, load) => {
                if (this.#endAttempt(attempt, load, detail)) {
                    this.#context.directory.recordFailure(attempt.owner);
                    this.#refusals.push({
                        detail,
                        reason: RefusalReason.Overloaded,
                        retryAfterMs: load?.waits.inTimeMs ?? DEFAULT_RETRY_AFTER_MS,
                    });
                    this.#retryOrComplete(detail, "declined");
                }
            },
            onEnd: load => {
                const stream = this.#stream?.attempt === attempt ? this.#stream : undefined;
                if (
                    this.#endAttempt(attempt, load, "answered")
                    && this.#requireStreamHead(stream !== undefined, "the answer ended without a beginning")
                    && stream !== undefined
                ) {
                    this.#completeStream(stream);
                }
            },
            onHead: head => this.#beginStream(attempt, head),
            onOffer: () => attempt.proceed(),
            onRefused: (refusal, load) => this.#handleRefusal(attempt, refusal, load),
            onOwnerTimeout: () => {
                if (isRepeatable(this.#plan.route.kind) && this.#stream === undefined) {
                    this.#placeRetry("stalled");
                }
            },
            onOutcomeUnknown: (detail, load) => {
                const isStreaming = this.#stream?.attempt === attempt;
                if (!this.#endAttempt(attempt, load, detail)) {
                    return;
                }
                if (isStreaming) {
                    this.#resetStream(attempt, detail);
                }
                else {
                    this.#hasUnknownOutcome = true;
                    this.#context.directory.recordFailure(attempt.owner);
                    this.#retryIfRepeatable(detail);
                }
            },
        };
    }

    #handleData(attempt: Attempt, body: Uint8Array): void {
        const stream = this.#stream;
        if (stream?.attempt !== attempt || this.#isComplete) {
            return;
        }
        stream.recordData(body.length, this.#context.now());
        if (stream.isTooLong) {
            this.#resetStream(attempt, stream.describeLength());
        }
        else if (!this.#exchange.sendData(body)) {
            attempt.handle?.pause();
        }
    }

    #completeStream(stream: AnswerStream): void {
        const { attempt, receivedBytes } = stream;
        if (!stream.isWhole) {
            this.#resetStream(attempt, stream.describeLength());
            return;
        }
        this.#recordSuccess(attempt, receivedBytes);
        this.#complete(attempt.owner, 200, Outcome.Answered, "", () => this.#exchange.sendEnd());
    }

    /** Ends an answer that broke off after its head was sent, which no other answer can replace. */
    #resetStream(attempt: Attempt, detail: string): void {
        this.#context.directory.recordFailure(attempt.owner);
        this.#complete(
            attempt.owner,
            BAD_GATEWAY_STATUS,
            Outcome.Unknown,
            detail,
            () => this.#exchange.resetConnection(),
        );
    }

    #handleAnswer(attempt: Attempt, head: AnswerHead, body: Uint8Array, load: OwnerLoad | undefined): void {
        if (!this.#endAttempt(attempt, load, `status ${head.status}`)) {
            return;
        }
        this.#head = head;
        if (head.status < FIRST_SERVER_FAILURE) {
            this.#recordBegin(attempt);
            this.#recordSuccess(attempt, body.length);
            attempt.owner.statistics.recordSuccess(this.#plan.route.name, head.workMs, this.#context.now());
            this.#completeWithAnswer({ body, head, owner: attempt.owner });
            return;
        }
        this.#context.directory.recordFailure(attempt.owner);
        this.#hasUnknownOutcome = true;
        this.#fallbackAnswer = { body, head, owner: attempt.owner };
        if (isRepeatable(this.#plan.route.kind)) {
            this.#retryOrComplete(`the server failed with status ${head.status}`, "failed");
        }
        else {
            this.#completeIfNoAttemptIsOpen();
        }
    }

    #handleRefusal(attempt: Attempt, refusal: OwnerRefusal, load: OwnerLoad | undefined): void {
        if (!this.#endAttempt(attempt, load, `${refusal.reason}: ${refusal.detail}`)) {
            return;
        }
        this.#attempts.recordNotReached();
        attempt.owner.statistics.ejection.recordInconclusive();
        if (isRestriction(refusal)) {
            this.#applyRestriction(refusal);
            return;
        }
        if (refusal.reason === RefusalReason.Outdated && this.#tryReroute()) {
            return;
        }
        this.#refusals.push(refusal);
        this.#retryOrComplete(refusal.detail, refusal.reason);
    }

    /** Hands a request that has certainly not run over to be routed by a newer version; returns whether it did. */
    #tryReroute(): boolean {
        const mayHaveRun = this.#hasUnknownOutcome || this.#fallbackAnswer !== undefined;
        const hasReachedServer = this.#attempts.openCount > 0 || this.#attempts.serversReached > 0;
        if (mayHaveRun || hasReachedServer || this.#plan.reroutes >= MAXIMUM_REROUTES) {
            return false;
        }
        this.#isComplete = true;
        this.#clearTimers();
        this.#context.reroute(this.#plan, this.#exchange, this.#onComplete);
        return true;
    }

    #clearTimers(): void {
        this.#cancelDeadline();
        this.#hedge.stop();
    }

    #beginStream(attempt: Attempt, head: AnswerHead): void {
        if (attempt.isEnded || this.#isComplete || this.#stream !== undefined) {
            return;
        }
        const statedBytes = parseStatedLength(head.headers);
        this.#stream = new AnswerStream(attempt, statedBytes);
        this.#hedge.stop();
        this.#recordBegin(attempt);
        this.#head = head;
        attempt.owner.statistics.recordSuccess(this.#plan.route.name, head.workMs, this.#context.now());
        this.#attempts.cancelAll(attempt);
        const fault = findFault(() => this.#exchange.sendHead(head, statedBytes));
        if (fault !== undefined) {
            this.#context.directory.recordFailure(attempt.owner);
            this.#complete(
                attempt.owner,
                BAD_GATEWAY_STATUS,
                Outcome.Unknown,
                fault,
                () => this.#exchange.sendFault(fault),
            );
        }
    }

    /** Checks that an ended stream had a head; without one, the outcome is unknown and a retry follows if allowed. */
    #requireStreamHead(isStreaming: boolean, detail: string): boolean {
        if (!isStreaming) {
            this.#hasUnknownOutcome = true;
            this.#retryIfRepeatable(detail);
        }
        return isStreaming;
    }

    /** Records the begin of an answer; that of a hedge says nothing of how long the first server would have taken. */
    #recordBegin({ isHedge, sentAt }: Attempt): void {
        if (!isHedge) {
            this.#plan.latencies.distribution.record(this.#context.now() - sentAt);
        }
        this.#hedge.recordAnswer(isHedge);
    }

    #recordSuccess(attempt: Attempt, bytes: number): void {
        if (attempt.owner.id !== this.#context.selfId) {
            this.#context.recordRelayedAnswer(bytes);
        }
        this.#plan.latencies.recordAnswer(this.#context.now() - attempt.sentAt);
        this.#plan.statistics.recordAnswer(bytes);
    }

    #retryIfRepeatable(detail: string): void {
        if (isRepeatable(this.#plan.route.kind)) {
            this.#retryOrComplete(detail, "unknown");
        }
        else {
            this.#lastDetail = detail;
            this.#completeIfNoAttemptIsOpen();
        }
    }

    /** Retries the request after an attempt ended without an answer, or completes it. */
    #retryOrComplete(detail: string, reason: string): void {
        this.#lastDetail = detail;
        this.#placeRetry(reason);
        this.#completeIfNoAttemptIsOpen();
    }

    #placeRetry(reason: string): void {
        const { route, service } = this.#plan;
        const openAttempts = this.#attempts.openCount;
        // Of a hedged request, one of the two goes on when the other fails.
        const isStillHedged = this.#attempts.isHedged && openAttempts > 0;
        if (this.#isComplete || isStillHedged || this.#handleRestriction()) {
            return;
        }
        const placement = this.#selectPlacement(this.#attempts.serversReached > 0);
        if (placement !== undefined) {
            this.#context.recorder.count({ class: route.name, kind: "retried", reason, service });
            this.#send(placement, reason);
        }
        else if (openAttempts === 0) {
            this.#completeAfterLastAttempt();
        }
    }

    #completeIfNoAttemptIsOpen(): void {
        if (!this.#isComplete && this.#attempts.openCount === 0) {
            this.#completeAfterLastAttempt();
        }
    }

    /** Ends an attempt; false when it had ended before or the request is complete. */
    #endAttempt(attempt: Attempt, load: OwnerLoad | undefined, end: string): boolean {
        return this.#attempts.end(attempt, load, end) && !this.#isComplete;
    }

    #completeWithAnswer({ body, head, owner }: ServerAnswer): void {
        this.#complete(owner, head.status, Outcome.Answered, "", () => this.#exchange.sendAnswer(head, body));
    }

    /** Answers the caller when no attempt is open and no other can follow. */
    #completeAfterLastAttempt(): void {
        if (this.#fallbackAnswer !== undefined) {
            this.#completeWithAnswer(this.#fallbackAnswer);
            return;
        }
        if (this.#hasUnknownOutcome) {
            const detail = this.#lastDetail;
            this.#complete(
                undefined,
                BAD_GATEWAY_STATUS,
                Outcome.Unknown,
                detail,
                () => this.#exchange.sendDaemonAnswer(BAD_GATEWAY_STATUS, Outcome.Unknown, detail),
            );
            return;
        }
        this.#refuse();
    }

    /** Keeps a request that may crash servers from being placed; returns whether it did. */
    #handleRestriction(): boolean {
        const restriction = this.#context.findRestriction(this.#plan);
        if (restriction !== undefined) {
            this.#applyRestriction(restriction);
        }
        return restriction !== undefined;
    }

    /** Completes a request that must not be placed, unless an attempt is open, whose answer would still be delivered. */
    #applyRestriction(restriction: OwnerRefusal): void {
        this.#lastDetail = restriction.detail;
        if (this.#attempts.openCount > 0) {
            return;
        }
        if (restriction.reason === RefusalReason.Quarantined && this.#fallbackAnswer === undefined) {
            this.#reject(restriction.reason, restriction.detail);
            return;
        }
        this.#refusals = [restriction];
        this.#completeAfterLastAttempt();
    }

    /** Answers with a status that doesn't invite the caller to send the request again. */
    #reject(reason: RefusalReason, detail: string): void {
        const { route, service } = this.#plan;
        const outcome = this.#hasUnknownOutcome ? Outcome.Unknown : Outcome.NotRun;
        const status = getRefusalStatus(reason);
        this.#context.recorder.count({ class: route.name, kind: "refused", reason, service });
        this.#complete(
            undefined,
            status,
            outcome,
            detail,
            () => this.#exchange.sendDaemonAnswer(status, outcome, detail),
        );
    }

    #refuse(): void {
        const { service } = this.#plan;
        const now = this.#context.now();
        const retryDelays = this.#refusals.map(({ retryAfterMs }) => retryAfterMs);
        const slotWaitMs = retryDelays.length > 0
            ? Math.min(...retryDelays)
            : this.#context.directory.estimateSlotWait(service) ?? DEFAULT_RETRY_AFTER_MS;
        const answerRetryAfterMs = computeRetryAfter(
            slotWaitMs,
            this.#plan.callerDeadlineAt - now,
            this.#context.random,
        );
        const detail = this.#refusals.at(-1)?.detail ?? `no server of ${service} can serve the request in time`;
        const reason = this.#refusals.at(-1)?.reason ?? RefusalReason.NoServer;
        this.#context.recorder.count({ class: this.#plan.route.name, kind: "refused", reason, service });
        this.#complete(undefined, UNAVAILABLE_STATUS, Outcome.NotRun, detail, () =>
            this.#exchange.sendDaemonAnswer(
                UNAVAILABLE_STATUS,
                Outcome.NotRun,
                detail,
                this.#context.dialect.buildRetryAfterHeaders(answerRetryAfterMs),
            ));
    }

    /** Cancels all attempts at the deadline and answers the caller. */
    #handleDeadline(): void {
        if (this.#isComplete) {
            return;
        }
        if (this.#stream !== undefined) {
            this.#resetStalledStream(this.#stream);
            return;
        }
        const mayRun = this.#hasUnknownOutcome
            || isRepeatable(this.#plan.route.kind) && this.#attempts.openCount > 0
            || this.#attempts.listOpen().some(({ handle, hasProceeded }) =>
                hasProceeded && handle?.isSending?.() !== true
            );
        for (const attempt of this.#attempts.listOpen()) {
            if (
                this.#context.now() - attempt.sentAt
                    > attempt.owner.statistics.estimateWorkTime(this.#plan.route.name, 0)
            ) {
                this.#context.directory.recordFailure(attempt.owner);
            }
            this.#attempts.cancel(attempt);
        }
        if (this.#fallbackAnswer !== undefined) {
            this.#completeWithAnswer(this.#fallbackAnswer);
        }
        else if (mayRun) {
            this.#complete(
                undefined,
                GATEWAY_TIMEOUT_STATUS,
                Outcome.Unknown,
                "the time is over",
                () => this.#exchange.sendDaemonAnswer(GATEWAY_TIMEOUT_STATUS, Outcome.Unknown, "the time is over"),
            );
        }
        else {
            this.#refuse();
        }
    }

    /** Resets a streamed answer of which nothing comes any more; looks again later while it goes on or its caller holds it up. */
    #resetStalledStream({ attempt, lastDataAt }: AnswerStream): void {
        const pauseMs = this.#exchange.canTakeData ? this.#context.now() - lastDataAt : 0;
        if (pauseMs >= STALLED_STREAM_MS) {
            this.#resetStream(
                attempt,
                `the time is over, and nothing of the answer has come for ${Math.round(pauseMs)} ms`,
            );
            return;
        }
        this.#cancelDeadline = this.#context.timers.after(STALLED_STREAM_MS - pauseMs, () => this.#handleDeadline());
    }

    /** Cancels the request after its caller disconnected. */
    #handleDisconnect(): void {
        if (this.#isComplete) {
            return;
        }
        this.#complete(undefined, 0, Outcome.Unknown, "the caller has left", () => undefined);
    }

    #complete(owner: Owner | undefined, status: number, outcome: Outcome, detail: string, answer: () => void): void {
        if (this.#isComplete) {
            return;
        }
        this.#isComplete = true;
        this.#clearTimers();
        this.#attempts.cancelAll();
        const fault = findFault(answer);
        if (fault !== undefined) {
            this.#exchange.sendFault(fault);
        }
        this.#recordEnd(
            owner,
            fault === undefined ? status : BAD_GATEWAY_STATUS,
            fault === undefined ? outcome : Outcome.Unknown,
            fault ?? detail,
        );
        this.#onComplete();
    }

    #recordEnd(owner: Owner | undefined, status: number, outcome: Outcome, detail: string): void {
        this.#context.recorder.record(
            buildRequestRecord(this.#plan, this.#attempts, this.#context.dialect, {
                detail,
                head: this.#head,
                hop: owner === undefined ? undefined : owner.id === this.#context.selfId ? Hop.Local : Hop.Relayed,
                latencyMs: this.#context.now() - this.#plan.arrivedAt,
                outcome,
                server: owner?.id,
                status,
            }),
        );
    }
}
