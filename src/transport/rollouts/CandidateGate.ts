/** Owner's side of a roll-out: opens and closes the gate of the own server, and collects evidence of its answers. */
import type { RegisteredServer } from "../../coordination/registration/index.js";
import {
    computeSlackLeft,
    isFinal,
    OwnerPhase,
    RolloutStage,
    selectPhase,
    VersionEvidence,
} from "../../coordination/rollouts/index.js";
import type { OwnerReport, Rollout, RolloutLedger, RolloutLoad } from "../../coordination/rollouts/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { PartLogger } from "../logging/index.js";
import type { AdmissionController, OwnedRequest, RequestEvents, RequestHandle } from "../ownership/index.js";
import { ALONE_MS, CLOSED_RETRY_AFTER_MS, ORDER_GRACE_MS, PEER_WAIT_MS, STORE_SILENCE_MS } from "./RolloutConstants.js";

export interface CandidateGateOptions {
    readonly selfId: string;
    readonly service: string;
    readonly ledger: RolloutLedger;
    readonly admission: Pick<
        AdmissionController,
        "findRunning" | "pendingRequests" | "readLoad" | "setHeld" | "submit"
    >;
    readonly slack: number;
    readonly log: PartLogger;
    readonly now: () => number;
    /** Number of candidates that get requests at a time. */
    countActive(): number;
    /** Called when the server has another version than before, so that its order has to be read. */
    onVersion(softwareVersion: string): void;
    /** Called when the gate lets requests of all callers pass to a server of this version. */
    onServing(softwareVersion: string): void;
    /** Called when the phase has changed, before the next request. */
    onPhase(): void;
    onEvidence(): void;
}

const FIRST_SERVER_FAILURE = 500;
const NO_HANDLE: RequestHandle = {
    cancel: () => undefined,
    pause: () => undefined,
    proceed: () => undefined,
    resume: () => undefined,
};

export class CandidateGate {
    readonly #options: CandidateGateOptions;
    readonly #startedAt: number;
    #evidence = new VersionEvidence();
    #slackUsed = 0;
    #softwareVersion: string | undefined;
    #hasServer = false;
    #versionKnownAt: number;
    /** Whether the store has told if there is an order since the version is known. */
    #isOrderRead = false;
    #phase: OwnerPhase | undefined;
    #isHeld = true;
    /** Order that asks for the version that was in force before it, by its base. */
    #inForceBase: number | undefined;
    #trackedBase: number | undefined;
    #sequence = 0;
    /** Last report of this owner from before a restart. */
    #remembered: OwnerReport | undefined;
    /** Whether another daemon has told what it knows. */
    #hasHeardPeer = false;

    constructor(options: CandidateGateOptions) {
        this.#options = options;
        options.admission.setHeld(true);
        this.#startedAt = options.now();
        this.#versionKnownAt = this.#startedAt;
    }

    get phase(): OwnerPhase | undefined {
        return this.#phase;
    }

    get softwareVersion(): string | undefined {
        return this.#softwareVersion;
    }

    get isHeld(): boolean {
        return this.#isHeld;
    }

    /** Time at which the server's version became known. */
    get versionKnownAt(): number {
        return this.#versionKnownAt;
    }

    /** Follows a report of the own server, before a request can reach it. */
    acceptServer({ softwareVersion }: Pick<RegisteredServer, "softwareVersion">): void {
        this.#hasServer = true;
        if (softwareVersion !== undefined && softwareVersion !== this.#softwareVersion) {
            this.#softwareVersion = softwareVersion;
            this.#versionKnownAt = this.#options.now();
            this.#isOrderRead = false;
            this.#evidence = new VersionEvidence();
            this.#slackUsed = 0;
            this.#restoreEvidence();
            this.#options.onVersion(softwareVersion);
        }
        this.update();
    }

    /** Records that the store has told the order of the service, or that there is none. */
    recordOrderRead(): void {
        this.#isOrderRead = true;
        this.update();
    }

    /** Records that another daemon has told what it knows of orders. */
    recordPeer(): void {
        this.#hasHeardPeer = true;
        this.update();
    }

    /** Opens or closes the gate by what is known. */
    update(): void {
        const { admission, ledger, log, now, service } = this.#options;
        const rollout = ledger.find(service);
        this.#trackOrder(rollout);
        const phase = rollout === undefined || this.#softwareVersion === undefined
            ? undefined
            : selectPhase(rollout, this.#softwareVersion, this.#inForceBase === rollout.order.base);
        const isHeld = rollout === undefined
            ? this.#isWaitingForOrder(now())
            : phase === undefined || phase === OwnerPhase.Closed || this.#isWaitingForPeers(rollout, now());
        if (isHeld !== this.#isHeld || phase !== this.#phase) {
            if (this.#hasServer) {
                log.info(`the gate is ${isHeld ? "closed" : phase ?? "open"} for version ${this.#softwareVersion}.`, {
                    isOrderRead: this.#isOrderRead,
                    orderRevision: rollout?.order.base,
                    stage: rollout?.stage,
                    targetVersion: rollout?.order.targetVersion,
                    version: this.#softwareVersion,
                });
            }
            const hasPhaseChanged = phase !== this.#phase;
            this.#phase = phase;
            this.#isHeld = isHeld;
            admission.setHeld(isHeld);
            if (hasPhaseChanged) {
                this.#options.onPhase();
            }
        }
        if (!isHeld && this.#softwareVersion !== undefined && phase !== OwnerPhase.Candidate) {
            this.#options.onServing(this.#softwareVersion);
        }
    }

    readLoad(): RolloutLoad | undefined {
        const order = this.#options.ledger.find(this.#options.service)?.order;
        const isPlain = this.#phase === undefined || this.#phase === OwnerPhase.Open
            || this.#phase === OwnerPhase.Promoted && isFinal(order?.state);
        return order === undefined || this.#phase === undefined || isPlain
            ? undefined
            : { orderRevision: order.base, phase: this.#phase, slackLeft: this.#computeSlackLeft() };
    }

    /** Submits a request to the own server, unless its version is on trial and the caller's daemon hasn't counted it. */
    submit(request: OwnedRequest, events: RequestEvents): RequestHandle {
        const { baseline } = request;
        if (this.#phase !== OwnerPhase.Candidate && this.#phase !== OwnerPhase.Promoted) {
            return this.#options.admission.submit(request, events);
        }
        if (baseline === undefined) {
            return this.#phase === OwnerPhase.Promoted
                ? this.#options.admission.submit(request, events)
                : this.#refuse(events, RefusalReason.ServerLeaving, "the server's version is on trial");
        }
        if (baseline.usesSlack) {
            if (this.#computeSlackLeft() <= 0) {
                return this.#refuse(events, RefusalReason.Overloaded, "the server on trial takes no more requests now");
            }
            this.#slackUsed++;
        }
        this.#evidence.recordBaseline(request.route, baseline);
        return this.#submitObserved(request, events, baseline.usesSlack);
    }

    /** Report of this owner for the order; its sequence is above that of all earlier ones, also before a restart. */
    buildReport({ order, reports, stage }: Rollout): OwnerReport {
        const { admission, selfId, service } = this.#options;
        const own = reports.get(selfId);
        this.#sequence = Math.max(this.#sequence, own?.sequence ?? 0) + 1;
        const isClosing = stage === RolloutStage.Promoting || stage === RolloutStage.Rejected;
        return {
            isDrained: isClosing && this.#isHeld && admission.pendingRequests === 0,
            orderRevision: order.base,
            ownerId: selfId,
            phase: this.#phase ?? OwnerPhase.Closed,
            sequence: this.#sequence,
            service,
            slackUsed: this.#slackUsed,
            softwareVersion: this.#softwareVersion,
            sums: this.#evidence.list(),
            targetVersion: order.targetVersion,
        };
    }

    /** Takes over a report of this owner from before a restart, which another daemon remembers; false if it is known. */
    restore(report: OwnerReport): boolean {
        if (report.sequence <= this.#sequence) {
            return false;
        }
        this.#sequence = report.sequence;
        this.#remembered = report;
        this.#restoreEvidence();
        return true;
    }

    #trackOrder(rollout: Rollout | undefined): void {
        if (rollout === undefined || rollout.order.base === this.#trackedBase) {
            return;
        }
        const { base, service, targetVersion } = rollout.order;
        const versions = this.#options.ledger.listVersions(service);
        // A daemon that has just started doesn't know yet which versions the others serve.
        const knowsOthers = this.#hasHeardPeer || this.#options.now() - this.#versionKnownAt > ALONE_MS;
        const wasInForce = this.#inForceBase !== undefined && this.#inForceBase === this.#trackedBase;
        const isSameOrder = this.#trackedBase !== undefined && base < this.#trackedBase;
        this.#trackedBase = base;
        if (isSameOrder) {
            this.#inForceBase = wasInForce ? base : undefined;
            return;
        }
        this.#inForceBase = knowsOthers && versions.has(targetVersion) && versions.size === 1 ? base : undefined;
        this.#evidence = new VersionEvidence();
        this.#slackUsed = 0;
        this.#restoreEvidence();
    }

    #restoreEvidence(): void {
        const order = this.#options.ledger.find(this.#options.service)?.order;
        const remembered = this.#remembered;
        if (
            remembered !== undefined && order !== undefined && remembered.softwareVersion === this.#softwareVersion
            && remembered.targetVersion === order.targetVersion && remembered.orderRevision >= order.base
        ) {
            this.#slackUsed = Math.max(this.#slackUsed, remembered.slackUsed);
            this.#evidence.restore(remembered.sums);
        }
    }

    /** Whether the gate stays closed since an order may exist that isn't known yet. */
    #isWaitingForOrder(now: number): boolean {
        const { ledger, service } = this.#options;
        const others = [...ledger.listVersions(service)].filter(version => version !== this.#softwareVersion);
        if (!this.#isOrderRead) {
            return others.length > 0 || now - this.#versionKnownAt < STORE_SILENCE_MS;
        }
        const isNew = this.#softwareVersion !== undefined
            && !ledger.listVersions(service).has(this.#softwareVersion);
        return isNew && others.length > 0 && now - this.#versionKnownAt < ORDER_GRACE_MS;
    }

    /** Whether a step may have been decided of which the store doesn't tell, right after a start of this daemon. */
    #isWaitingForPeers({ order }: Rollout, now: number): boolean {
        return !this.#hasHeardPeer && !isFinal(order.state) && now - this.#startedAt < PEER_WAIT_MS;
    }

    #computeSlackLeft(): number {
        const { countActive, ledger, now, selfId, service, slack } = this.#options;
        const rollout = ledger.find(service);
        if (rollout?.stage !== RolloutStage.Trial || this.#phase !== OwnerPhase.Candidate) {
            return 0;
        }
        return computeSlackLeft(rollout, selfId, { activeCount: countActive(), slack, used: this.#slackUsed }, now());
    }

    #refuse(events: RequestEvents, reason: RefusalReason, detail: string): RequestHandle {
        events.onRefused({ detail, reason, retryAfterMs: CLOSED_RETRY_AFTER_MS }, this.#options.admission.readLoad());
        return NO_HANDLE;
    }

    #submitObserved(request: OwnedRequest, events: RequestEvents, usesSlack: boolean): RequestHandle {
        const { admission, now } = this.#options;
        const evidence = this.#evidence;
        const submittedAt = now();
        const isCold = admission.readLoad().coldLeftMs > 0;
        let isEnded = false;
        const record = (hasFailed: boolean, workMs: number): void => {
            if (!isEnded) {
                isEnded = true;
                evidence.record({ hasFailed, isCold, route: request.route, workMs }, now());
                this.#options.onEvidence();
            }
        };
        const handle = admission.submit(request, {
            ...events,
            onAnswer: (head, body, load) => {
                record(head.status >= FIRST_SERVER_FAILURE, head.workMs);
                events.onAnswer(head, body, load);
            },
            onAnswerAborted: (detail, load) => {
                record(true, now() - submittedAt);
                events.onAnswerAborted(detail, load);
            },
            onEnd: load => {
                record(false, 0);
                events.onEnd(load);
            },
            onHead: head => {
                const hasFailed = head.status >= FIRST_SERVER_FAILURE;
                if (hasFailed || evidence.isSlow(request.route, head.workMs, isCold)) {
                    record(hasFailed, head.workMs);
                }
                events.onHead(head);
            },
            onOutcomeUnknown: (detail, load) => {
                record(true, now() - submittedAt);
                events.onOutcomeUnknown(detail, load);
            },
            onRefused: (refusal, load) => {
                isEnded = true;
                this.#slackUsed -= usesSlack ? 1 : 0;
                events.onRefused(refusal, load);
            },
        });
        return {
            cancel: () => {
                // A request that is abandoned while it runs tells as much as a slow answer.
                const ranMs = now() - submittedAt;
                if (
                    admission.findRunning(request.requestId) !== undefined
                    && evidence.isSlow(request.route, ranMs, isCold)
                ) {
                    record(false, ranMs);
                }
                isEnded = true;
                handle.cancel();
            },
            pause: () => handle.pause(),
            proceed: () => handle.proceed(),
            resume: () => handle.resume(),
        };
    }
}
