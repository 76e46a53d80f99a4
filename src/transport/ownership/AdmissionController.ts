/**
 * Admits requests to the backend server beside this daemon, which no request reaches otherwise. Keeps
 * exactly to the server's slots, queues or refuses requests without a slot, and closes before the daemon
 * acknowledges that the server is leaving.
 */
import { WorkFactor } from "../../coordination/placement/index.js";
import type { OwnerLoad } from "../../coordination/placement/index.js";
import { ReportResult, ServerPhase, ServerRegistration } from "../../coordination/registration/index.js";
import type { RegisteredServer, ServerIdentity, ServerReport } from "../../coordination/registration/index.js";
import type { RolloutLoad } from "../../coordination/rollouts/index.js";
import type { SlotChanges } from "../../coordination/scheduling/index.js";
import {
    AnswerSizeEstimator,
    LinkBudget,
    RateLimit,
    SlotQueue,
    WorkTimeEstimator,
} from "../../coordination/scheduling/index.js";
import type { Dialect, ServerAnswerHeaders } from "../../protocol/dialect/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import { isRepeatable, RequestKind } from "../../state/traffic/index.js";
import type { CostlyReads } from "../input/index.js";
import type { PartLogger } from "../logging/index.js";
import { CrashDetector } from "./CrashDetector.js";
import type { RunningRequest } from "./CrashDetector.js";
import type { OwnedRequest, OwnerRefusal, RequestEvents, RequestHandle } from "./OwnedRequest.js";
import { CLOSED_RETRY_AFTER_MS, MINIMUM_BUDGET_MS } from "./OwnershipConstants.js";
import { isWellFormed } from "./RequestEncoder.js";
import { RequestExecution } from "./RequestExecution.js";
import { SecondAnswerMonitor } from "./SecondAnswers.js";
import { ServerConfirmation } from "./ServerConfirmation.js";
import type { ConfirmationDependencies } from "./ServerConfirmation.js";
import { ServerConnectionPool } from "./ServerConnectionPool.js";

/** Interval at which queued requests are checked between other events. */
const QUEUE_CHECK_INTERVAL_MS = 25;

/** Size assumed for a download before the first answer of its route, so that a start doesn't fill the link. */
const INITIAL_DOWNLOAD_BYTES = 65_536;

/** Decides whether the server's version may get requests. */
export interface RolloutGate {
    /** Called with each accepted report, before a request can reach the server. */
    acceptServer(server: RegisteredServer): void;
    readLoad(): RolloutLoad | undefined;
}

export interface AdmissionControllerOptions {
    readonly dialect: Dialect;
    readonly log: PartLogger;
    /** Monotonic clock, in milliseconds. */
    readonly now: () => number;
    /** Divides the processor time for answers that come in tiny parts. */
    readonly costlyReads: CostlyReads;
    /** Rate of the VM's link; undefined when large answers need no budget. */
    readonly linkBytesPerMs?: number | undefined;
    /** Called after admission has opened or closed, or another server has reported. */
    readonly onChange: (load: OwnerLoad) => void;
    /** Returns why a request must not run, since it may crash servers; undefined for all others. */
    readonly findRestriction: (request: OwnedRequest) => OwnerRefusal | undefined;
    /** Returns the fingerprint of a request that may crash the server, so that one of its kind runs at a time. */
    readonly findTrial: (request: OwnedRequest) => string | undefined;
    /** Called when the server has crashed, with the requests that it was running. */
    readonly onCrash: (server: RegisteredServer, requests: readonly RunningRequest[], crashedAt: number) => void;
    /** Called with each request that the server has answered completely. */
    readonly onAnswered: (request: OwnedRequest) => void;
    /** Returns what decides on the server's version; undefined where there are no roll-outs. */
    readonly findRolloutGate?: (() => RolloutGate | undefined) | undefined;
    /** Set for a daemon that has restarted: its server has to confirm that it serves. */
    readonly confirmation?: ConfirmationDependencies | undefined;
}

export class AdmissionController {
    readonly registration: ServerRegistration;
    readonly secondAnswers: SecondAnswerMonitor;
    readonly #confirmation: ServerConfirmation | undefined;
    readonly #options: AdmissionControllerOptions;
    readonly #workTimeEstimator = new WorkTimeEstimator();
    readonly #workFactor = new WorkFactor();
    readonly #rateLimit = new RateLimit();
    readonly #answerSizes = new AnswerSizeEstimator();
    readonly #link: LinkBudget;
    readonly #queue: SlotQueue<RequestExecution>;
    readonly #connectionPool: ServerConnectionPool;
    readonly #crashDetector: CrashDetector;
    readonly #executions = new Set<RequestExecution>();
    /** Executions on trial by their fingerprints. */
    readonly #trials = new Map<string, RequestExecution>();
    #isStopping = false;
    #queueTimer: NodeJS.Timeout | undefined;
    #wasOpen = false;
    /** Whether the registered server has answered since this daemon knows it, and so has told its limit. */
    #hasAnswered = false;

    constructor(options: AdmissionControllerOptions) {
        this.#options = options;
        this.registration = new ServerRegistration(options.confirmation === undefined);
        this.#confirmation = options.confirmation === undefined
            ? undefined
            : new ServerConfirmation(
                this.registration,
                options.confirmation,
                () => this.#refuseQueuedUnlessOpen(options.now()),
            );
        this.#link = new LinkBudget(options.linkBytesPerMs);
        this.#queue = new SlotQueue(
            () => this.registration.server?.slots ?? 0,
            this.#workTimeEstimator,
            this.#rateLimit,
            this.#link,
        );
        this.secondAnswers = new SecondAnswerMonitor(options.log);
        this.#connectionPool = new ServerConnectionPool({ ...options, secondAnswers: this.secondAnswers });
        this.#crashDetector = new CrashDetector(options);
    }

    /** Requests that are queued or running. */
    get pendingRequests(): number {
        return this.#executions.size;
    }

    get running(): number {
        return this.#queue.running;
    }

    /** Records what this VM's link carries besides answers of the own server, such as answers for the own callers. */
    recordLinkUse(bytes: number): void {
        this.#link.take(bytes, this.#options.now());
    }

    /** Records a small message or answer that this VM's link carries. */
    recordSmallLinkUse(bytes: number): void {
        this.#link.takeSmall(bytes, this.#options.now());
    }

    /** Finds a request that has a slot of the server. */
    findRunning(requestId: string): OwnedRequest | undefined {
        for (const { hasStarted, request } of this.#executions) {
            if (hasStarted && request.requestId === requestId) {
                return request;
            }
        }
        return undefined;
    }

    readLoad(): OwnerLoad {
        const now = this.#options.now();
        const server = this.registration.server;
        return {
            coldLeftMs: Math.max(0, (server?.coldUntil ?? 0) - now),
            isOpen: this.#isOpen(now),
            limitPerSecond: this.#rateLimit.perSecond,
            link: this.#link.isBottleneck
                ? { bytesPerMs: this.#link.bytesPerMs, waitMs: this.#queue.estimateLinkWait(now) }
                : undefined,
            queued: this.#queue.queued,
            rollout: this.#options.findRolloutGate?.()?.readLoad(),
            running: this.#queue.running,
            slots: server?.slots ?? 0,
            waits: this.#queue.estimateWaits(now),
            workFactor: this.#workFactor.read(now),
            workMs: this.#workTimeEstimator.meanMs,
        };
    }

    /**
     * Identity of the server for other daemons to remember, also while this daemon stops; undefined when the server can't
     * get new requests.
     */
    readServerIdentity(): ServerIdentity | undefined {
        const server = this.registration.server;
        if (server === undefined || !this.registration.isOpen(this.#options.now())) {
            return undefined;
        }
        const { address, port, serverId, service, slots, startedAt } = server;
        const softwareVersion = this.#options.findRolloutGate?.() === undefined ? undefined : server.softwareVersion;
        const limitPerSecond = this.#rateLimit.perSecond;
        return { address, limitPerSecond, port, serverId, service, slots, softwareVersion, startedAt };
    }

    /** Keeps the server closed for a roll-out, or no longer; when closed, no request reaches it after this call. */
    setHeld(isHeld: boolean): void {
        this.registration.setHeld(isHeld);
        this.#refuseQueuedUnlessOpen(this.#options.now());
    }

    /** Restores the server from the identity that another daemon remembers, so that it need not report first. */
    restoreServer(identity: ServerIdentity): void {
        if (this.registration.server === undefined) {
            this.registration.restore(identity, this.#options.now());
            if (this.registration.server !== undefined) {
                this.#options.log.info(`restored server ${identity.serverId}, which another daemon remembers.`, {
                    identity,
                });
                this.#connectionPool.setTarget(identity.address, identity.port);
                this.#options.findRolloutGate?.()?.acceptServer(this.registration.server);
                this.#confirmation?.start();
            }
        }
        const { server } = this.registration;
        if (!this.#hasAnswered && server !== undefined && isSameStart(server, identity)) {
            this.#applyLimit(server, identity.limitPerSecond);
        }
    }

    /** Applies a report of the server; when it is leaving, no request reaches it after this call. */
    acceptReport(report: ServerReport): ReportResult {
        const previous = this.registration.server;
        const now = this.#options.now();
        const result = this.registration.accept(report, now);
        if (result !== ReportResult.Accepted) {
            const subject = result === ReportResult.Foreign
                ? "a report of another writer"
                : "an outdated report of a server";
            this.#options.log.info(`dropped ${subject}.`, { report, registered: previous });
            return result;
        }
        const isOther = previous === undefined || !isSameStart(previous, report);
        if (isOther) {
            this.#hasAnswered = false;
            this.#rateLimit.update(undefined, now);
            this.#workTimeEstimator.reset();
            this.#workFactor.record(undefined, now);
        }
        if (isOther || previous.phase !== report.phase) {
            this.#options.log.info(`server ${report.serverId} is ${report.phase}.`, { report });
        }
        this.#connectionPool.setTarget(report.address, report.port, isOther);
        if (this.registration.server !== undefined) {
            this.#options.findRolloutGate?.()?.acceptServer(this.registration.server);
        }
        this.#refuseQueuedUnlessOpen(now);
        if (isOther && this.#wasOpen) {
            this.#options.onChange(this.readLoad());
        }
        this.#confirmation?.start();
        return result;
    }

    /** Records that the server has left; no request reaches it after this call. */
    acceptDeparture(serverId: string, startedAt: number | undefined): void {
        this.registration.acceptDeparture(serverId, startedAt);
        this.#options.log.info(`server ${serverId} has left.`);
        this.#refuseQueuedUnlessOpen(this.#options.now());
    }

    /** Refuses new requests from now on; queued and running ones continue. */
    beginStop(): void {
        this.#isStopping = true;
        this.#notifyIfOpenChanged(this.#options.now());
    }

    closeAll(): void {
        clearInterval(this.#queueTimer);
        this.#confirmation?.stop();
        this.#crashDetector.stop();
        this.#connectionPool.closeAll();
    }

    /** Starts, queues or refuses a request; all results are reported as events, possibly before this returns. */
    submit(request: OwnedRequest, events: RequestEvents): RequestHandle {
        const now = this.#options.now();
        const execution = new RequestExecution(
            request,
            events,
            now,
            {
                acquireConnection: (requestId, isFresh) => this.#connectionPool.acquire(requestId, isFresh),
                dialect: this.#options.dialect,
                findRestriction: this.#options.findRestriction,
                now: this.#options.now,
                onAnswered: this.#options.onAnswered,
                onExecutionEnd: (ended, hadSlot) => this.#releaseExecution(ended, hadSlot),
                onStatement: (server, statement) => this.#recordStatement(server, statement),
                onServerBroken: (server, running, report) => this.#checkForCrash(server, running, report),
                onServerUnreachable: detail => this.#recordUnreachable(detail),
                onServerReached: () => this.registration.markReachable(),
                onServerReplaced: server => this.#recordReplaced(server),
                readLoad: () => this.readLoad(),
                readServer: () => this.registration.server,
                recordAnswerSize: (route, expectedBytes, bytes) => {
                    this.#answerSizes.record(route, bytes);
                    this.#link.correct(expectedBytes, bytes, this.#options.now());
                },
                recordUnfinished: (route, workMs) => this.#workTimeEstimator.recordUnfinished(route, workMs),
                recordWork: (route, workMs) => this.#workTimeEstimator.record(route, workMs),
            },
            this.#answerSizes.estimate(
                request.route,
                request.kind === RequestKind.Download ? INITIAL_DOWNLOAD_BYTES : 0,
            ),
        );
        const trial = this.#options.findTrial(request);
        const refusal = this.#findRefusal(request, now) ?? this.#findTrialRefusal(trial);
        if (refusal !== undefined) {
            events.onRefused({ retryAfterMs: CLOSED_RETRY_AFTER_MS, ...refusal }, this.readLoad());
            return execution;
        }
        if (trial !== undefined) {
            this.#trials.set(trial, execution);
        }
        this.#executions.add(execution);
        this.#applySlotChanges(this.#queue.enqueue(execution, now));
        this.#scheduleQueueChecks();
        return execution;
    }

    /** Returns why a request can't be accepted, with the time to come back if it is known. */
    #findRefusal(
        request: OwnedRequest,
        now: number,
    ): { reason: RefusalReason; detail: string; retryAfterMs?: number; } | undefined {
        const server = this.registration.server;
        if (this.#isStopping) {
            return { detail: "the daemon of the server is stopping", reason: RefusalReason.Stopping };
        }
        if (server === undefined) {
            return { detail: "no server has reported to its daemon", reason: RefusalReason.NoServer };
        }
        if (server.service !== request.service) {
            return { detail: `the server is of ${server.service}`, reason: RefusalReason.Misdirected };
        }
        if (!this.#isOpen(now)) {
            if (this.registration.isHeld) {
                return { detail: "a roll-out keeps the server closed", reason: RefusalReason.ServerLeaving };
            }
            const isReady = server.phase === ServerPhase.Ready;
            const unavailableDetail = this.registration.needsConfirmation()
                ? "the server has not confirmed that it serves"
                : "the server can't be reached";
            return {
                detail: isReady ? unavailableDetail : `the server is ${server.phase}`,
                reason: isReady ? RefusalReason.ServerUnreachable : RefusalReason.ServerLeaving,
            };
        }
        if (!isWellFormed(request)) {
            return { detail: "the request can't be written as a message", reason: RefusalReason.BadRequest };
        }
        return request.budgetLeftMs < MINIMUM_BUDGET_MS
            ? { detail: "no time is left", reason: RefusalReason.Deadline }
            : this.#options.findRestriction(request);
    }

    /** Refuses a request on trial while the same one waits or runs, since one crash tells as much as several. */
    #findTrialRefusal(trial: string | undefined): { reason: RefusalReason; detail: string; } | undefined {
        const earlier = trial === undefined ? undefined : this.#trials.get(trial);
        return earlier !== undefined && this.#executions.has(earlier)
            ? { detail: `request ${trial} is on trial already`, reason: RefusalReason.Suspected }
            : undefined;
    }

    #isOpen(now: number): boolean {
        return !this.#isStopping && this.registration.isOpen(now);
    }

    #applySlotChanges(changes: SlotChanges<RequestExecution>): void {
        for (const { request: execution, refusal } of changes.refused) {
            this.#executions.delete(execution);
            const reason = refusal.reason === "overloaded" ? RefusalReason.Overloaded : RefusalReason.Deadline;
            const detail = this.#describeLoad();
            execution.refuse({ detail, reason, retryAfterMs: refusal.retryAfterMs });
        }
        for (const execution of changes.started) {
            execution.start(!isRepeatable(execution.request.kind));
        }
    }

    /** Describes what keeps requests from starting, for the answers of those that are refused. */
    #describeLoad(): string {
        const slots = this.registration.server?.slots ?? 0;
        const { perSecond } = this.#rateLimit;
        const linkWaitMs = this.#link.isBottleneck ? this.#queue.estimateLinkWait(this.#options.now()) : 0;
        return `${this.#queue.running} running and ${this.#queue.queued} waiting for ${slots} slots`
            + (perSecond === undefined ? "" : `, at most ${perSecond} requests a second`)
            + (linkWaitMs > 0 ? `, large answers wait ${Math.ceil(linkWaitMs)} ms for the link` : "");
    }

    #releaseExecution(execution: RequestExecution, hadSlot: boolean): void {
        this.#executions.delete(execution);
        const now = this.#options.now();
        if (hadSlot) {
            this.#applySlotChanges(this.#queue.releaseSlot(now));
        }
        else {
            this.#queue.remove(execution);
        }
    }

    /** Checks the queue at intervals, since deadlines pass and predictions change while requests wait. */
    #scheduleQueueChecks(): void {
        if (this.#queueTimer !== undefined || this.#queue.queued === 0) {
            return;
        }
        this.#queueTimer = setInterval(() => {
            this.#applySlotChanges(this.#queue.dispatch(this.#options.now()));
            if (this.#queue.queued === 0) {
                clearInterval(this.#queueTimer);
                this.#queueTimer = undefined;
            }
        }, QUEUE_CHECK_INTERVAL_MS);
    }

    /** Calls `report` when it is known whether the server has crashed under a request. One that is leaving ends as planned. */
    #checkForCrash(server: RegisteredServer, running: RunningRequest, report: () => void): void {
        const current = this.registration.server;
        if (current !== undefined && isSameStart(current, server) && current.phase === ServerPhase.Ready) {
            this.#crashDetector.recordBroken(current, running, report);
        }
        else {
            report();
        }
    }

    #recordUnreachable(detail: string): void {
        const now = this.#options.now();
        const wasOpen = this.registration.isOpen(now);
        this.registration.markUnreachable(now);
        if (wasOpen) {
            this.#options.log.warn(`server can't be reached: ${detail}.`, { server: this.registration.server });
        }
        this.#refuseQueuedUnlessOpen(now);
    }

    /** Follows what the registered server says of itself in an answer. */
    #recordStatement(server: RegisteredServer, { isLeaving, limitPerSecond, load }: ServerAnswerHeaders): void {
        const current = this.registration.server;
        if (current === undefined || !isSameStart(current, server)) {
            return;
        }
        this.#hasAnswered = true;
        this.#workFactor.record(load?.workFactor, this.#options.now());
        this.#applyLimit(current, limitPerSecond);
        if (isLeaving && this.registration.markLeaving()) {
            this.#options.log.info(`server ${current.serverId} says in an answer that it is leaving.`, {
                server: current,
            });
            this.#refuseQueuedUnlessOpen(this.#options.now());
        }
    }

    #applyLimit(server: RegisteredServer, limitPerSecond: number | undefined): void {
        const before = this.#rateLimit.perSecond;
        const now = this.#options.now();
        this.#rateLimit.update(limitPerSecond, now);
        if (before === undefined && limitPerSecond !== undefined) {
            this.#options.log.warn(`server ${server.serverId} takes ${limitPerSecond} requests a second at most.`, {
                limitPerSecond,
                server,
            });
            this.#options.onChange(this.readLoad());
        }
        else if (before !== undefined && limitPerSecond === undefined) {
            this.#options.log.info(`server ${server.serverId} no longer names a limit.`, { before, server });
            this.#options.onChange(this.readLoad());
        }
    }

    #recordReplaced(intended: RegisteredServer): void {
        const server = this.registration.server;
        if (server !== undefined && isSameStart(server, intended)) {
            this.#options.log.warn(`another server answers at the address of ${server.serverId}.`, { server });
            this.registration.markReplaced(server.serverId);
            this.#refuseQueuedUnlessOpen(this.#options.now());
        }
    }

    /** Refuses queued requests when the server gets no new ones, also in a planned stop, and reports a change. */
    #refuseQueuedUnlessOpen(now: number): void {
        const server: RegisteredServer | undefined = this.registration.server;
        if (!this.registration.isOpen(now)) {
            for (const execution of [...this.#executions]) {
                if (!execution.hasStarted && this.#queue.remove(execution)) {
                    this.#executions.delete(execution);
                    execution.refuse({
                        detail: `the server is ${server?.phase ?? "unknown"} or can't be reached`,
                        reason: RefusalReason.ServerLeaving,
                        retryAfterMs: CLOSED_RETRY_AFTER_MS,
                    });
                }
                else {
                    execution.withdrawOffer();
                }
            }
        }
        this.#notifyIfOpenChanged(now);
    }

    #notifyIfOpenChanged(now: number): void {
        const isOpen = this.#isOpen(now);
        if (isOpen !== this.#wasOpen) {
            this.#wasOpen = isOpen;
            this.#options.onChange(this.readLoad());
        }
    }
}

/** Whether two records are of the same start of the same server. */
function isSameStart(
    left: Pick<ServerIdentity, "serverId" | "startedAt">,
    right: Pick<ServerIdentity, "serverId" | "startedAt">,
): boolean {
    return left.serverId === right.serverId && left.startedAt === right.startedAt;
}
