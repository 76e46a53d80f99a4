import type { RolloutLoad } from "../rollouts/index.js";
import type { SlotWaitEstimates } from "../scheduling/index.js";

/** Network distance from the selecting daemon to a server. */
export const Distance = { SameDomain: 0, SameRegion: 1, OtherRegion: 2 } as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** Load of a backend server, which its owner reports with each answer. */
export interface OwnerLoad {
    /** Whether the owner sends new requests to its server. */
    readonly isOpen: boolean;
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    /** Expected waits for a slot of a request that arrives at the time of the report. */
    readonly waits: SlotWaitEstimates;
    /** Mean work time over all routes. */
    readonly workMs: number;
    /** Remaining time of the server's cold start. */
    readonly coldLeftMs: number;
    /** Requests a second that the server takes from all daemons together; undefined when it names no limit. */
    readonly limitPerSecond?: number | undefined;
    /** The link of the server's VM, for large answers; undefined when it is no bottleneck. */
    readonly link?: LinkLoad | undefined;
    /** Time that each request loses at a daemon without processor time; undefined while it has some. */
    readonly processorDelayMs?: number | undefined;
    /** How long work takes at the server at present, as told by it and reduced by its age; undefined when it isn't told. */
    readonly workFactor?: number | undefined;
    /** What a roll-out has decided for the server; undefined while it gets requests like any other. */
    readonly rollout?: RolloutLoad | undefined;
}

export interface LinkLoad {
    readonly bytesPerMs: number;
    /** Expected wait of a large answer for the link, in milliseconds. */
    readonly waitMs: number;
}

/** Properties of a request that determine its placement. */
export interface PlacementQuery {
    readonly route: string;
    readonly isNested: boolean;
    /** Whether it was refused in another failure domain already, so that its bytes have crossed a costly link. */
    readonly hasCrossed?: boolean;
    /** Time left until the target latency is exceeded; may be negative. */
    readonly targetLeftMs: number;
    /** Time left until the deadline, after which an answer is useless. */
    readonly budgetLeftMs: number;
    /** Bytes sent over the links: the request and the expected answer. */
    readonly bytes: number;
}
