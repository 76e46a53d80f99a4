import type { ObjectVersion } from "../store/index.js";

/** States of a claim. A released claim counts as absent; done is final, and an abandoned claim can only become done. */
export const ClaimState = {
    /** The attempt may be running, or its executor may have died. */
    Claimed: "claimed",
    /** The attempt provably did not run and never will. */
    Released: "released",
    /** The attempt ran to completion. */
    Done: "done",
    /** The attempt was started and its outcome cannot be determined. */
    Abandoned: "abandoned",
} as const;
export type ClaimState = (typeof ClaimState)[keyof typeof ClaimState];

/** An answer as a claim stores it; `body` is base64. */
export interface StoredAnswer {
    readonly status: number;
    readonly headers: readonly (readonly [name: string, value: string])[];
    readonly body: string;
}

/** One entry of a shard: the latest attempt to execute the request of one idempotency key. */
export interface Claim {
    /** Hash of service and key; see `hashKey`. */
    readonly keyHash: string;
    /** Id of the daemon that may execute the attempt. */
    readonly executor: string;
    /** Unique in the mesh; only the call that created it ever executes under it. */
    readonly attempt: string;
    readonly state: ClaimState;
    /** Shard clock in milliseconds when the entry was last changed. */
    readonly at: number;
    readonly answer?: StoredAnswer;
}

/** An immutable object that holds entries moved out of the tail. */
export interface SealedReference {
    /** Key of the object in the store; unique to the writer that created it. */
    readonly name: string;
    readonly version: ObjectVersion;
    /** Highest `at` of its entries; the object expires as a whole. */
    readonly newestAt: number;
}

/** An attempt that was released; a claim of it that arrives later must not take the key again. */
export interface CancelledAttempt {
    readonly attempt: string;
    /** Shard clock in milliseconds of the release. */
    readonly at: number;
}

/**
 * The content of one shard's mutable object. An entry of the tail overrides entries of the same
 * key in sealed objects, and a later sealed object overrides an earlier one.
 */
export interface ClaimShard {
    /**
     * Time in milliseconds that writers have observed to pass since the shard was created. It never
     * runs ahead of real time, whatever the wall clocks of the VMs say, so retention is never cut short.
     */
    readonly clock: number;
    readonly tail: readonly Claim[];
    /** Oldest first. */
    readonly cancelled: readonly CancelledAttempt[];
    /** Oldest first. */
    readonly sealed: readonly SealedReference[];
    /** Expired sealed objects that may not have been deleted yet. */
    readonly removed: readonly SealedReference[];
}
