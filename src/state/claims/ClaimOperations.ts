import type { Claim, ClaimShard, SealedReference, StoredAnswer } from "./Claim.js";

import { ClaimState } from "./Claim.js";

/** Requests the right to execute; granted if the resulting entry has this attempt and the state `claimed`. */
export interface ClaimOperation {
    readonly kind: "claim";
    readonly keyHash: string;
    readonly executor: string;
    readonly attempt: string;
}

/** Records the end of an attempt. A release also rejects a claim of the same attempt that arrives later. */
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

/** Arguments of `applyOperations` besides the shard and the operations. */
export interface ApplyContext {
    /** Shard clock of the new content, in milliseconds. */
    readonly clock: number;
    readonly retentionMs: number;
    /** Entries of the operations' keys that the shard's sealed objects hold. */
    readonly sealedEntries: ReadonlyMap<string, Claim>;
}

/**
 * Time for which a released attempt is kept. It covers claims that a paused holder or a slow
 * connection delivers after their owner gave up; a claim delivered later blocks its key, but nothing
 * is executed under it.
 */
const CANCELLED_RETENTION_MS = 600_000;

/** Maximum number of released attempts that a shard keeps, about 30 KB. */
const MAXIMUM_CANCELLED_ATTEMPTS = 500;

/**
 * Applies operations in order. Applying an operation again to a shard that already contains it
 * changes nothing, so a writer whose write has an unknown outcome reads the shard and applies again.
 */
export function applyOperations(
    shard: ClaimShard,
    operations: readonly ShardOperation[],
    context: ApplyContext,
): AppliedOperations {
    const draft = createDraft(shard, context);
    const entries = operations.map(operation => applyOperation(draft, operation, context));
    const isCurrent = (reference: SealedReference): boolean => !isExpired(reference.newestAt, context);
    return {
        shard: {
            clock: context.clock,
            tail: [...draft.tail.values()],
            cancelled: [...draft.cancelled].map(([attempt, at]) => ({ attempt, at })).slice(
                -MAXIMUM_CANCELLED_ATTEMPTS,
            ),
            sealed: shard.sealed.filter(isCurrent),
            removed: [...shard.removed, ...shard.sealed.filter(reference => !isCurrent(reference))],
        },
        entries,
        isChanged: draft.isChanged,
    };
}

/** Mutable working copy of a shard. */
interface ShardDraft {
    readonly tail: Map<string, Claim>;
    /** Time of the release by attempt. */
    readonly cancelled: Map<string, number>;
    isChanged: boolean;
}

function createDraft(shard: ClaimShard, context: ApplyContext): ShardDraft {
    const tail = shard.tail.filter(entry => !isExpired(entry.at, context));
    const cancelled = shard.cancelled.filter(({ at }) => at + CANCELLED_RETENTION_MS > context.clock);
    return {
        tail: new Map(tail.map(entry => [entry.keyHash, entry])),
        cancelled: new Map(cancelled.map(({ attempt, at }) => [attempt, at])),
        isChanged: false,
    };
}

function isExpired(at: number, { clock, retentionMs }: ApplyContext): boolean {
    return at + retentionMs <= clock;
}

/** Applies one operation to the working copy and returns the resulting entry of the operation's key. */
function applyOperation(draft: ShardDraft, operation: ShardOperation, context: ApplyContext): Claim {
    const sealed = context.sealedEntries.get(operation.keyHash);
    const current = draft.tail.get(operation.keyHash)
        ?? (sealed && !isExpired(sealed.at, context) ? sealed : undefined);
    if (operation.kind === "claim" && draft.cancelled.has(operation.attempt)) {
        return createEntry(operation, ClaimState.Released, context.clock);
    }
    if (operation.kind === "settle" && operation.state === ClaimState.Released) {
        cancelAttempt(draft, operation.attempt, context.clock);
    }
    const next = advanceClaim(current, operation, context.clock);
    if (next === undefined) {
        return createEntry(operation, ClaimState.Released, context.clock);
    }
    if (next !== current) {
        draft.isChanged = true;
        draft.tail.delete(next.keyHash);
        draft.tail.set(next.keyHash, next);
    }
    return next;
}

function cancelAttempt(draft: ShardDraft, attempt: string, clock: number): void {
    if (!draft.cancelled.has(attempt)) {
        draft.isChanged = true;
        draft.cancelled.set(attempt, clock);
    }
}

/** Returns the key's entry after the operation; undefined when the key has none. */
function advanceClaim(current: Claim | undefined, operation: ShardOperation, clock: number): Claim | undefined {
    if (operation.kind === "claim") {
        const isFree = current === undefined
            || (current.state === ClaimState.Released && current.attempt !== operation.attempt);
        return isFree ? createEntry(operation, ClaimState.Claimed, clock) : current;
    }
    const isUnrecordedAttempt = current === undefined && operation.state !== ClaimState.Released;
    if (isUnrecordedAttempt || isSettledBy(current, operation)) {
        return createEntry(operation, operation.state, clock, operation.answer);
    }
    return current;
}

/** An abandoned attempt may later be reported as done; no other final state changes. */
function isSettledBy(current: Claim | undefined, operation: SettleOperation): boolean {
    if (current?.attempt !== operation.attempt) {
        return false;
    }
    return current.state === ClaimState.Claimed
        || (current.state === ClaimState.Abandoned && operation.state === ClaimState.Done);
}

function createEntry(
    operation: ShardOperation,
    state: ClaimState,
    at: number,
    answer?: StoredAnswer,
): Claim {
    const { keyHash, executor, attempt } = operation;
    return { keyHash, executor, attempt, state, at, ...(answer && { answer }) };
}
