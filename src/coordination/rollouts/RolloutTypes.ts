/** An order, what the owners of the service's servers report of it, and the steps that were decided. */

export const RolloutState = { Running: "running", Succeeded: "succeeded", RolledBack: "rolledBack" } as const;
export type RolloutState = (typeof RolloutState)[keyof typeof RolloutState];

/** An order as the store holds it. */
export interface StoredOrder {
    readonly service: string;
    readonly targetVersion: string;
    readonly finishByMs: number;
    /** Revision of the object, which each write of the status raises. */
    readonly revision: number;
    /** State of the order's target version; undefined while none was written. */
    readonly state: RolloutState | undefined;
}

export interface RolloutOrder extends StoredOrder {
    /** Lowest known revision of the order, which identifies it. */
    readonly base: number;
    /** Time at which the first daemon learned of the order. */
    readonly learnedAt: number;
}

/** What an owner does with requests for its server, because of an order. */
export const OwnerPhase = {
    Open: "open",
    /** Requests reach the server only if they were counted by the caller's daemon. */
    Candidate: "candidate",
    Promoted: "promoted",
    Closed: "closed",
} as const;
export type OwnerPhase = (typeof OwnerPhase)[keyof typeof OwnerPhase];

/** Part of an owner's load report. */
export interface RolloutLoad {
    readonly orderRevision: number;
    readonly phase: OwnerPhase;
    /** Requests beyond the callers' shares that the candidate takes now. */
    readonly slackLeft: number;
}

/** What the caller's daemon has measured of the other servers of the service; it comes with requests to candidates only. */
export interface Baseline {
    /** Mean work time on the route; 0 while it isn't known. */
    readonly workMs: number;
    /** Share of bad answers on the route. */
    readonly failureShare: number;
    /** Whether the request is beyond the share of the caller's daemon. */
    readonly usesSlack: boolean;
}

/** Sums over the answers of one route, or of all routes under `ALL_ROUTES`. */
export interface RouteSums {
    readonly route: string;
    readonly requests: number;
    readonly bad: number;
    /** Log-likelihood ratio of a bad version against a good one over all answers; negative for a good one. */
    readonly ratio: number;
    /** The same since it was last 0, never negative (CUSUM): a fault that appears late isn't hidden by earlier answers. */
    readonly alarm: number;
}

export const ALL_ROUTES = "";

/** State of one owner of the service's servers. The newest sequence number wins. */
export interface OwnerReport {
    readonly ownerId: string;
    readonly service: string;
    readonly targetVersion: string;
    readonly orderRevision: number;
    readonly sequence: number;
    /** Undefined while the server hasn't named it. */
    readonly softwareVersion: string | undefined;
    readonly phase: OwnerPhase;
    /** Whether the gate is closed and no request waits or runs. */
    readonly isDrained: boolean;
    readonly slackUsed: number;
    readonly sums: readonly RouteSums[];
}

export const DecisionKind = { Promoting: "promoting", Rejected: "rejected" } as const;
export type DecisionKind = (typeof DecisionKind)[keyof typeof DecisionKind];

/** A step that one daemon has decided and that all follow; a rejection goes before a promotion. */
export interface RolloutDecision {
    readonly service: string;
    readonly targetVersion: string;
    readonly orderRevision: number;
    readonly kind: DecisionKind;
    /** Daemon that has decided. */
    readonly by: string;
    readonly reason: string;
    readonly at: number;
}

export interface ServingVersion {
    readonly service: string;
    readonly softwareVersion: string;
}

export interface RolloutRecords {
    readonly orders: readonly RolloutOrder[];
    readonly reports: readonly OwnerReport[];
    readonly decisions: readonly RolloutDecision[];
    readonly versions: readonly ServingVersion[];
}

export const RolloutStage = {
    Trial: "trial",
    Promoting: "promoting",
    Rejected: "rejected",
    Succeeded: "succeeded",
    RolledBack: "rolledBack",
} as const;
export type RolloutStage = (typeof RolloutStage)[keyof typeof RolloutStage];

/** All that is known of one order. */
export interface Rollout {
    readonly order: RolloutOrder;
    readonly stage: RolloutStage;
    readonly decision: RolloutDecision | undefined;
    readonly reports: ReadonlyMap<string, OwnerReport>;
}
