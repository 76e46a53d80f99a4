import type { Claim, ShardOperation } from "../../state/claims/index.js";
import type { CommitResult, SubmitOptions } from "./ShardCommitter.js";

import { Left, Right } from "purify-ts/Either";
import { MAXIMUM_BATCH_BYTES, MAXIMUM_PENDING_OPERATIONS } from "./ClaimConstants.js";

/** Estimated size of an entry without its answer, in bytes. */
const ENTRY_BYTES = 200;

interface PendingOperation {
    readonly operation: ShardOperation;
    readonly submittedAt: number;
    /** Whether the head must have been read after the submission. */
    readonly isFresh: boolean;
    /** Whether the operation is part of a write that has not been answered yet. */
    isInFlight: boolean;
    /** Whether the operation was part of an earlier write whose answer was lost. */
    isInDoubt: boolean;
    readonly resolve: (result: CommitResult) => void;
}

/** The operations of one write. */
export interface OperationBatch {
    readonly operations: readonly ShardOperation[];
    /**
     * Returns the operations whose submitters still wait. Must be called directly before the write,
     * because an operation cancelled before it was reported as certainly not committed.
     */
    dropCancelled(): OperationBatch;
    markInFlight(): void;
    /** Called after the write; `isLost` when its answer was lost. */
    markWritten(isLost: boolean): void;
    /**
     * Whether a settlement found another attempt in a head that is older than the settlement. The
     * settled attempt may be in a newer head, for example if a holder committed its claim.
     */
    requiresFreshHead(entries: readonly Claim[], confirmedAt: number): boolean;
    /** Resolves the operations with their keys' entries, in the same order. */
    deliver(entries: readonly Claim[]): void;
}

/** Operations of one shard that wait for a commit, in the order of their arrival. */
export class PendingOperations {
    readonly #pending = new Set<PendingOperation>();

    get size(): number {
        return this.#pending.size;
    }

    /** Earliest time of a head read that satisfies every pending operation. */
    get freshSince(): number {
        return Math.max(
            -Infinity,
            ...[...this.#pending].map(pending => pending.isFresh ? pending.submittedAt : -Infinity),
        );
    }

    /** Resolves when the operation is delivered or fails, or when the signal aborts. */
    add(operation: ShardOperation, submittedAt: number, options: SubmitOptions): Promise<CommitResult> {
        const { isFresh = false, signal } = options;
        this.#dropOldestSettlement();
        return new Promise(resolve => {
            const pending: PendingOperation = {
                operation,
                submittedAt,
                isFresh,
                isInFlight: false,
                isInDoubt: false,
                resolve: result => {
                    signal?.removeEventListener("abort", cancel);
                    this.#pending.delete(pending);
                    resolve(result);
                },
            };
            const cancel = (): void => fail(pending, "the deadline passed or the caller left");
            this.#pending.add(pending);
            if (signal?.aborted) {
                cancel();
            }
            signal?.addEventListener("abort", cancel, { once: true });
        });
    }

    /** Selects the oldest operations, up to the maximum size of one write. */
    selectBatch(): OperationBatch {
        const selected: PendingOperation[] = [];
        let bytes = 0;
        for (const pending of this.#pending) {
            bytes += estimateBytes(pending.operation);
            if (bytes > MAXIMUM_BATCH_BYTES && selected.length > 0) {
                break;
            }
            selected.push(pending);
        }
        return this.#createBatch(selected);
    }

    /** Fails the operations for which `matches` returns true. */
    fail(matches: (operation: ShardOperation) => boolean, detail: string): void {
        for (const pending of [...this.#pending]) {
            if (matches(pending.operation)) {
                fail(pending, detail);
            }
        }
    }

    #createBatch(selected: readonly PendingOperation[]): OperationBatch {
        return {
            operations: selected.map(pending => pending.operation),
            dropCancelled: () => this.#createBatch(selected.filter(pending => this.#pending.has(pending))),
            markInFlight: () => selected.forEach(pending => pending.isInFlight = true),
            markWritten: isLost =>
                selected.forEach(pending => {
                    pending.isInFlight = false;
                    pending.isInDoubt ||= isLost;
                }),
            requiresFreshHead: (entries, confirmedAt) =>
                selected.some(({ operation, submittedAt }, index) =>
                    operation.kind === "settle"
                    && submittedAt > confirmedAt
                    && entries[index]?.attempt !== operation.attempt
                ),
            deliver: entries => selected.forEach((pending, index) => pending.resolve(Right(entries[index] as Claim))),
        };
    }

    #dropOldestSettlement(): void {
        if (this.#pending.size >= MAXIMUM_PENDING_OPERATIONS) {
            const oldest = [...this.#pending].find(pending => pending.operation.kind === "settle");
            if (oldest) {
                fail(oldest, "too many operations wait for the store");
            }
        }
    }
}

function fail(pending: PendingOperation, detail: string): void {
    pending.resolve(Left({ possiblyCommitted: pending.isInFlight || pending.isInDoubt, detail }));
}

function estimateBytes(operation: ShardOperation): number {
    return operation.kind === "settle" && operation.answer
        ? ENTRY_BYTES + JSON.stringify(operation.answer).length
        : ENTRY_BYTES;
}
