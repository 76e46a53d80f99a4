/**
 * The only way to the backend server beside this daemon. It keeps the server's slots exactly, queues
 * or refuses what has no slot, and closes before the leaving of the server is acknowledged.
 */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import { ReportResult, ServerPhase, ServerRegistration } from "../../coordination/registration/index.js";
import type { RegisteredServer, ServerIdentity, ServerReport } from "../../coordination/registration/index.js";
import type { SlotChanges } from "../../coordination/scheduling/index.js";
import { SlotQueue, WorkTimeEstimator } from "../../coordination/scheduling/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import { RequestKind } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnedRequest, RequestEvents, RequestHandle } from "./OwnedRequest.js";
import { CLOSED_RETRY_AFTER_MS, MINIMUM_BUDGET_MS } from "./OwnershipConstants.js";
import { isWellFormed } from "./RequestEncoder.js";
import { RequestExecution } from "./RequestExecution.js";
import { ServerConfirmation } from "./ServerConfirmation.js";
import type { ConfirmationDependencies } from "./ServerConfirmation.js";
import { ServerConnectionPool } from "./ServerConnectionPool.js";

/** Time between checks of queued requests when nothing else happens. */
const QUEUE_CHECK_INTERVAL_MS = 25;

export interface AdmissionControllerOptions {
    readonly dialect: Dialect;
    readonly log: PartLogger;
    /** Milliseconds; must not jump. */
    readonly now: () => number;
    /** Told after the gate opened or closed, or another server runs beside it. */
    readonly onChange: (load: OwnerLoad) => void;
    /** Given for a daemon that has restarted: its server has to confirm that it serves. */
    readonly confirmation?: ConfirmationDependencies | undefined;
}

export class AdmissionController {
    readonly registration: ServerRegistration;
    readonly #confirmation: ServerConfirmation | undefined;
    readonly #options: AdmissionControllerOptions;
    readonly #workTimeEstimator = new WorkTimeEstimator();
    readonly #queue: SlotQueue<RequestExecution>;
    readonly #connectionPool: ServerConnectionPool;
    readonly #executions = new Set<RequestExecution>();
    #isStopping = false;
    #queueTimer: NodeJS.Timeout | undefined;
    #wasOpen = false;

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
        this.#queue = new SlotQueue(() => this.registration.server?.slots ?? 0, this.#workTimeEstimator);
        this.#connectionPool = new ServerConnectionPool(options.dialect, options.now);
    }

    /** Requests that wait or run. */
    get pendingRequests(): number {
        return this.#executions.size;
    }

    get running(): number {
        return this.#queue.running;
    }

    /** Whether the server is at work on the request with this id. */
    isRunning(requestId: string): boolean {
        for (const entry of this.#executions) {
            if (entry.hasStarted && entry.request.requestId === requestId) {
                return true;
            }
        }
        return false;
    }

    readLoad(): OwnerLoad {
        const now = this.#options.now();
        const server = this.registration.server;
        return {
            coldLeftMs: Math.max(0, (server?.coldUntil ?? 0) - now),
            isOpen: this.#isOpen(now),
            queued: this.#queue.queued,
            running: this.#queue.running,
            slots: server?.slots ?? 0,
            waits: this.#queue.estimateWaits(now),
            workMs: this.#workTimeEstimator.meanMs,
        };
    }

    /** What other daemons should remember of the server; undefined when it gets no new work. */
    readServerIdentity(): ServerIdentity | undefined {
        const server = this.registration.server;
        if (server === undefined || !this.#isOpen(this.#options.now())) {
            return undefined;
        }
        const { address, port, serverId, service, slots, startedAt } = server;
        return { address, port, serverId, service, slots, startedAt };
    }

    /** Takes in what another daemon remembers of the server, so that it need not report first. */
    restoreServer(identity: ServerIdentity): void {
        if (this.registration.server === undefined) {
            this.registration.restore(identity, this.#options.now());
            if (this.registration.server !== undefined) {
                this.#options.log.info(`server ${identity.serverId} is remembered by another daemon.`, { identity });
                this.#connectionPool.setTarget(identity.address, identity.port);
                this.#confirmation?.start();
            }
        }
    }

    /** Takes a report of the server in; when it is leaving, nothing reaches it after this call. */
    acceptReport(report: ServerReport): void {
        const before = this.registration.server;
        const now = this.#options.now();
        if (this.registration.accept(report, now) === ReportResult.Outdated) {
            this.#options.log.info("outdated report of a server dropped.", { report, registered: before });
            return;
        }
        const isOther = before?.serverId !== report.serverId || before.startedAt !== report.startedAt;
        if (isOther) {
            this.#workTimeEstimator.reset();
            this.#connectionPool.closeIdle();
        }
        if (isOther || before.phase !== report.phase) {
            this.#options.log.info(`server ${report.serverId} is ${report.phase}.`, { report });
        }
        this.#connectionPool.setTarget(report.address, report.port);
        this.#refuseQueuedUnlessOpen(now);
        if (isOther && this.#wasOpen) {
            this.#options.onChange(this.readLoad());
        }
        this.#confirmation?.start();
    }

    /** The server says that it is gone; nothing reaches it after this call. */
    acceptDeparture(serverId: string, startedAt: number | undefined): void {
        this.registration.acceptDeparture(serverId, startedAt);
        this.#options.log.info(`server ${serverId} has left.`);
        this.#refuseQueuedUnlessOpen(this.#options.now());
    }

    /** Refuses new work from now on; what runs or waits goes on. */
    beginStop(): void {
        this.#isStopping = true;
        this.#notifyIfOpenChanged(this.#options.now());
    }

    closeAll(): void {
        clearInterval(this.#queueTimer);
        this.#confirmation?.stop();
        this.#connectionPool.closeAll();
    }

    /** Accepts or refuses a request; all outcomes come as events, possibly before this returns. */
    submit(request: OwnedRequest, events: RequestEvents): RequestHandle {
        const now = this.#options.now();
        const entry = new RequestExecution(request, events, now, {
            acquireConnection: isFresh => this.#connectionPool.acquire(isFresh),
            dialect: this.#options.dialect,
            now: this.#options.now,
            onExecutionEnd: (finished, hadSlot) => this.#releaseExecution(finished, hadSlot),
            onServerUnreachable: detail => this.#recordUnreachable(detail),
            onServerReached: () => this.registration.markReachable(),
            onServerReplaced: () => this.#recordReplaced(),
            readLoad: () => this.readLoad(),
            readServer: () => this.registration.server,
            recordUnfinished: (route, workMs) => this.#workTimeEstimator.recordUnfinished(route, workMs),
            recordWork: (route, workMs) => this.#workTimeEstimator.record(route, workMs),
        });
        const refusal = this.#findRefusal(request, now);
        if (refusal !== undefined) {
            events.onRefused({ ...refusal, retryAfterMs: CLOSED_RETRY_AFTER_MS }, this.readLoad());
            return entry;
        }
        this.#executions.add(entry);
        this.#applySlotChanges(this.#queue.enqueue(entry, now));
        this.#scheduleQueueChecks();
        return entry;
    }

    #findRefusal(request: OwnedRequest, now: number): { reason: RefusalReason; detail: string; } | undefined {
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
            const isReady = server.phase === ServerPhase.Ready;
            const unusable = this.registration.needsConfirmation()
                ? "the server has not confirmed that it serves"
                : "the server can't be reached";
            return {
                detail: isReady ? unusable : `the server is ${server.phase}`,
                reason: isReady ? RefusalReason.ServerUnreachable : RefusalReason.ServerLeaving,
            };
        }
        if (!isWellFormed(request)) {
            return { detail: "the request can't be written as a message", reason: RefusalReason.BadRequest };
        }
        return request.budgetLeftMs < MINIMUM_BUDGET_MS
            ? { detail: "no time is left", reason: RefusalReason.Deadline }
            : undefined;
    }

    #isOpen(now: number): boolean {
        return !this.#isStopping && this.registration.isOpen(now);
    }

    #applySlotChanges(changes: SlotChanges<RequestExecution>): void {
        for (const { request: entry, refusal } of changes.refused) {
            this.#executions.delete(entry);
            const reason = refusal.reason === "overloaded" ? RefusalReason.Overloaded : RefusalReason.Deadline;
            const detail = `${this.#queue.running} running and ${this.#queue.queued} waiting for `
                + `${this.registration.server?.slots ?? 0} slots`;
            entry.refuse({ detail, reason, retryAfterMs: refusal.retryAfterMs });
        }
        for (const entry of changes.started) {
            entry.start(entry.request.kind === RequestKind.AtMostOnce);
        }
    }

    #releaseExecution(entry: RequestExecution, hadSlot: boolean): void {
        this.#executions.delete(entry);
        const now = this.#options.now();
        if (hadSlot) {
            this.#applySlotChanges(this.#queue.releaseSlot(now));
        }
        else {
            this.#queue.remove(entry);
        }
    }

    /** Deadlines pass and predictions change while requests wait. */
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

    #recordUnreachable(detail: string): void {
        const now = this.#options.now();
        const wasOpen = this.registration.isOpen(now);
        this.registration.markUnreachable(now);
        if (wasOpen) {
            this.#options.log.warn(`server can't be reached: ${detail}.`, { server: this.registration.server });
        }
        this.#refuseQueuedUnlessOpen(now);
    }

    #recordReplaced(): void {
        const server = this.registration.server;
        if (server !== undefined) {
            this.#options.log.warn(`another server answers at the address of ${server.serverId}.`, { server });
            this.registration.markReplaced(server.serverId);
            this.#refuseQueuedUnlessOpen(this.#options.now());
        }
    }

    /** Refuses what waits when the server gets nothing new, and tells others of a change. */
    #refuseQueuedUnlessOpen(now: number): void {
        const server: RegisteredServer | undefined = this.registration.server;
        if (!this.#isOpen(now) && !this.#isStopping) {
            for (const entry of [...this.#executions]) {
                if (!entry.hasStarted && this.#queue.remove(entry)) {
                    this.#executions.delete(entry);
                    entry.refuse({
                        detail: `the server is ${server?.phase ?? "unknown"} or can't be reached`,
                        reason: RefusalReason.ServerLeaving,
                        retryAfterMs: CLOSED_RETRY_AFTER_MS,
                    });
                }
                else {
                    entry.withdrawOffer();
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
