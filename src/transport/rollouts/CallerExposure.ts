/** Caller's side of a roll-out: which requests of this daemon go to servers on trial, and what the other servers answer. */
import {
    BaselineTracker,
    computeActiveCount,
    ExposureLimiter,
    isWanted,
    OwnerPhase,
    RolloutStage,
    selectActive,
    SHARE_IN_USE,
} from "../../coordination/rollouts/index.js";
import type { Baseline, Rollout, RolloutLedger, RolloutLoad } from "../../coordination/rollouts/index.js";
import type { OwnedRequest } from "../ownership/index.js";
import type { SessionRequestEvents } from "../sessions/index.js";
import { SLACK_FOR_ALL } from "./RolloutConstants.js";

export interface CallerExposureOptions {
    readonly ledger: RolloutLedger;
    readonly share: number;
    readonly random: () => number;
    countServers(service: string): number;
}

/** What the choice of an owner has to know of it. */
export interface RolloutOwner {
    readonly id: string;
    readonly service: string;
    readonly statistics: { readonly load: { readonly rollout?: RolloutLoad | undefined; } | undefined; };
}

/** Candidates at which a request may be placed. */
export interface Trial<T extends RolloutOwner> {
    readonly owners: readonly T[];
    readonly baseline: Baseline;
}

interface OrderExposure {
    readonly base: number;
    readonly targetVersion: string;
    readonly limiter: ExposureLimiter;
}

export class CallerExposure {
    readonly #options: CallerExposureOptions;
    readonly #exposures = new Map<string, OrderExposure>();
    readonly #baselines = new Map<string, BaselineTracker>();

    constructor(options: CallerExposureOptions) {
        this.#options = options;
    }

    /** Whether owners of the service may differ because of an order. */
    isAffected(service: string): boolean {
        return this.#options.ledger.hasOrders && this.#options.ledger.find(service) !== undefined;
    }

    /** Requests of this daemon that were sent to the service since it learned of the order, and those at candidates. */
    readCounts(service: string): { readonly sent: number; readonly sentToCandidates: number; } | undefined {
        return this.#exposures.get(service)?.limiter;
    }

    /** Begins to count the requests of a service, when its order becomes known. */
    recordOrder({ order: { base, service, targetVersion }, stage }: Rollout): void {
        const known = this.#exposures.get(service);
        if (stage === RolloutStage.Trial && (known?.targetVersion !== targetVersion || known.base < base)) {
            const limiter = new ExposureLimiter(this.#options.share * SHARE_IN_USE, this.#options.random);
            this.#exposures.set(service, { base, limiter, targetVersion });
        }
    }

    /** Returns the candidates to which a request may go now, of those that take requests; undefined if it may go to none. */
    selectTrial<T extends RolloutOwner>(service: string, route: string, owners: Iterable<T>): Trial<T> | undefined {
        const rollout = this.#options.ledger.find(service);
        const limiter = this.#exposures.get(service)?.limiter;
        if (rollout?.stage !== RolloutStage.Trial || limiter === undefined) {
            return undefined;
        }
        const usesSlack = !limiter.isAllowed;
        if (usesSlack && !isWanted(rollout, route)) {
            return undefined;
        }
        const { share } = this.#options;
        const candidates = [...owners].filter(owner => this.#selectPhase(owner, rollout) === OwnerPhase.Candidate);
        const { order: { targetVersion }, reports } = rollout;
        const targets = [...reports.values()].filter(({ softwareVersion }) => softwareVersion === targetVersion).length;
        const presentServers = this.#options.countServers(service) - targets;
        const active = selectActive(
            targetVersion,
            candidates,
            computeActiveCount(share * SHARE_IN_USE, presentServers),
        );
        const usable = usesSlack ? active.filter(owner => this.#trySlack(owner)) : active;
        return usable.length === 0
            ? undefined
            : { baseline: this.#readBaseline(service, route, usesSlack), owners: usable };
    }

    /** Whether an owner gets requests without a limit. */
    isRegular(owner: RolloutOwner): boolean {
        const rollout = this.#options.ledger.find(owner.service);
        const phase = rollout === undefined
            ? owner.statistics.load?.rollout?.phase
            : this.#selectPhase(owner, rollout);
        return phase === undefined || phase === OwnerPhase.Open || phase === OwnerPhase.Promoted;
    }

    /** Returns what goes with a request to a server that is being promoted, whose answers are still compared. */
    findBaseline(owner: RolloutOwner, route: string): Baseline | undefined {
        return owner.statistics.load?.rollout?.phase === OwnerPhase.Promoted
            ? this.#readBaseline(owner.service, route, false)
            : undefined;
    }

    /** Counts a request that is sent to an owner, and measures its answer unless the owner is on trial. */
    observe(service: string, request: OwnedRequest, events: SessionRequestEvents): SessionRequestEvents {
        const { baseline, route } = request;
        const limiter = this.#exposures.get(service)?.limiter;
        const isCandidate = baseline !== undefined;
        limiter?.recordSent(isCandidate, baseline?.usesSlack === true);
        const record = (status: number, workMs: number | undefined): void => {
            if (!isCandidate) {
                this.#getBaselines(service).record(route, status, workMs);
            }
        };
        return {
            ...events,
            onAnswer: (head, body, load) => {
                record(head.status, head.workMs);
                events.onAnswer(head, body, load);
            },
            onAnswerAborted: (detail, load) => {
                record(0, undefined);
                events.onAnswerAborted(detail, load);
            },
            onHead: head => {
                record(head.status, head.workMs);
                events.onHead(head);
            },
            onOutcomeUnknown: (detail, load) => {
                record(0, undefined);
                events.onOutcomeUnknown(detail, load);
            },
            onRefused: (refusal, load) => {
                limiter?.recordRefused(isCandidate, baseline?.usesSlack === true);
                events.onRefused(refusal, load);
            },
        };
    }

    /** Phase of an owner by what is known of its version, and by its load for owners whose version isn't known. */
    #selectPhase(owner: RolloutOwner, { order, reports, stage }: Rollout): OwnerPhase | undefined {
        const stated = owner.statistics.load?.rollout?.phase;
        const report = reports.get(owner.id);
        if (report?.softwareVersion === undefined) {
            return stated;
        }
        const isTarget = report.softwareVersion === order.targetVersion;
        switch (stage) {
            case RolloutStage.Trial:
                return isTarget ? report.phase : OwnerPhase.Open;
            case RolloutStage.Promoting:
            case RolloutStage.Succeeded:
                return isTarget ? OwnerPhase.Promoted : OwnerPhase.Closed;
            default:
                return isTarget ? OwnerPhase.Closed : OwnerPhase.Open;
        }
    }

    /** Whether to use a candidate's slack: all daemons together should ask for about what is left. */
    #trySlack({ statistics }: RolloutOwner): boolean {
        const left = statistics.load?.rollout?.slackLeft ?? 0;
        return left > 0 && this.#options.random() < left / SLACK_FOR_ALL;
    }

    #readBaseline(service: string, route: string, usesSlack: boolean): Baseline {
        return { ...this.#getBaselines(service).read(route), usesSlack };
    }

    #getBaselines(service: string): BaselineTracker {
        const tracker = this.#baselines.get(service) ?? new BaselineTracker();
        this.#baselines.set(service, tracker);
        return tracker;
    }
}
