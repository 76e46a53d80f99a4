import type { Either } from "purify-ts/Either";
import type { Claim, ShardOperation } from "../../state/claims/index.js";

/** Reports that an operation had no confirmed effect. */
export interface CommitFailure {
    /** Whether the operation may have taken effect or may still take effect later. */
    readonly possiblyCommitted: boolean;
    readonly detail: string;
}

/** The entry of the operation's key after the operation, as the store holds it. */
export type CommitResult = Either<CommitFailure, Claim>;

export interface SubmitOptions {
    /** Requires an entry that the store confirmed after the submission. */
    readonly isFresh?: boolean;
    /** Cancels the wait for the result. A settlement without a signal is retried until it succeeds. */
    readonly signal?: AbortSignal;
}

/** Applies operations to shards; a result is returned only after the store has confirmed it. */
export interface ShardCommitter {
    submit(shard: number, operation: ShardOperation, options: SubmitOptions): Promise<CommitResult>;
    /** Cancels all waits; pending operations fail. */
    stop(): void;
}
