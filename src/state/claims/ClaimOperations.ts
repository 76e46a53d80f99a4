import type { Claim, ClaimShard, StoredAnswer } from "./Claim.js";

import { ClaimState } from "./Claim.js";

/** Asks for the right to execute; granted when the resulting entry carries the same attempt, claimed. */
export interface ClaimOperation {
    readonly kind: "claim";
    readonly keyHash: string;
    readonly executor: string;
    readonly attempt: string;
}

/** Ends an attempt. A release also blocks a claim of the same attempt that is still on its way. */
export interface SettleOperation {
    readonly kind: "settle";
    readonly keyHash: string;
    readonly executor: string;
    readonly attempt: string;
    readonly state: "released" | "done" | "abandoned";
    readonly answer?: StoredAnswer;
}

export type ShardOperation = ClaimOperation | SettleOperation;

/** Result of applying a batch. `entries` holds the entry of each operation's key, in the same order. */
export interface AppliedOperations {
    readonly shard: ClaimShard;
    readonly entries: readonly Claim[];
    readonly isChanged: boolean;
}

/** What `applyOperations` needs besides the shard and the operations. */
export interface ApplyContext {
    /** Shard clock of the new content, in milliseconds. */
    readonly clock: number;
    readonly retentionMs: number;
    /** Entries of the operations' keys that the shard's sealed objects hold. */
    readonly sealedEntries: ReadonlyMap<string, Claim>;
}

/**
 * Applies operations in order. Applying an operation again to a shard that already contains it
 * changes nothing, so a writer whose write has an unknown outcome reads the shard and applies again.
 */
export function applyOperations(
    shard: ClaimShard,
    operations: readonly ShardOperation[],
    context: ApplyContext,
): AppliedOperations {
    const isCurrent = (at: number): boolean => at + context.retentionMs > context.clock;
    const tail = new Map(shard.tail.filter(entry => isCurrent(entry.at)).map(entry => [entry.keyHash, entry]));
    let isChanged = false;
    const entries = operations.map(operation => {
        const sealed = context.sealedEntries.get(operation.keyHash);
        const present = tail.get(operation.keyHash) ?? (sealed && isCurrent(sealed.at) ? sealed : undefined);
        const next = advanceClaim(present, operation, context.clock);
        if (next !== present) {
            isChanged = true;
            tail.delete(next.keyHash);
            tail.set(next.keyHash, next);
        }
        return next;
    });
    const expired = shard.sealed.filter(reference => !isCurrent(reference.newestAt));
    return {
        shard: {
            clock: context.clock,
            tail: [...tail.values()],
            sealed: shard.sealed.filter(reference => isCurrent(reference.newestAt)),
            removed: [...shard.removed, ...expired],
        },
        entries,
        isChanged,
    };
}

function advanceClaim(present: Claim | undefined, operation: ShardOperation, clock: number): Claim {
    if (operation.kind === "claim") {
        const isFree = present === undefined
            || (present.state === ClaimState.Released && present.attempt !== operation.attempt);
        return isFree ? createEntry(operation, ClaimState.Claimed, clock) : present;
    }
    if (present === undefined || isSettledBy(present, operation)) {
        return createEntry(operation, operation.state, clock, operation.answer);
    }
    return present;
}

/** An abandoned attempt may still turn out to be done; nothing else follows a final state. */
function isSettledBy(present: Claim, operation: SettleOperation): boolean {
    if (present.attempt !== operation.attempt) {
        return false;
    }
    return present.state === ClaimState.Claimed
        || (present.state === ClaimState.Abandoned && operation.state === ClaimState.Done);
}

function createEntry(
    { keyHash, executor, attempt }: ShardOperation,
    state: ClaimState,
    at: number,
    answer?: StoredAnswer,
): Claim {
    return { keyHash, executor, attempt, state, at, ...(answer && { answer }) };
}
