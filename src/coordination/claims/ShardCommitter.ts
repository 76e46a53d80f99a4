import type { Either } from "purify-ts/Either";
import type { Claim, ShardOperation } from "../../state/claims/index.js";

/** The operation had no confirmed effect. */
export interface CommitFailure {
    /** Whether the operation may have taken effect or may still take effect later. */
    readonly possiblyCommitted: boolean;
    readonly detail: string;
}

/** The entry of the operation's key after the operation, as the store holds it. */
export type CommitResult = Either<CommitFailure, Claim>;

export interface SubmitOptions {
    /** Requires that the entry is not older than the submission. */
    readonly isFresh?: boolean;
    /** Ends the wait for the result. A settlement without a signal is tried until it succeeds. */
    readonly signal?: AbortSignal;
}

/** Applies operations to shards; the result is confirmed by the store before it is given. */
export interface ShardCommitter {
    submit(shard: number, operation: ShardOperation, options: SubmitOptions): Promise<CommitResult>;
    /** Ends all waits; pending operations fail. */
    stop(): void;
}
