import type { SlotWaitEstimates } from "../scheduling/index.js";

/** How far a server is from the daemon that chooses it. */
export const Distance = { SameDomain: 0, SameRegion: 1, OtherRegion: 2 } as const;
export type Distance = (typeof Distance)[keyof typeof Distance];

/** Load of a backend server as its owner reports it with each answer. */
export interface OwnerLoad {
    /** Whether the owner gives its server new work. */
    readonly isOpen: boolean;
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    /** Time that a request which came at the report would wait for a slot, by the order of service. */
    readonly waits: SlotWaitEstimates;
    /** Mean work time over all routes. */
    readonly workMs: number;
    /** How much longer the server is slow after its start. */
    readonly coldLeftMs: number;
}

/** A request that is to be placed. */
export interface PlacementQuery {
    readonly route: string;
    readonly isNested: boolean;
    /** Time in which an answer is in time; may be negative. */
    readonly targetLeftMs: number;
    /** Time after which an answer is of no use. */
    readonly budgetLeftMs: number;
    /** Bytes that cross the links: the request and the expected answer. */
    readonly bytes: number;
}
