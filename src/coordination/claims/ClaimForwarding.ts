import type { ShardOperation } from "../../state/claims/index.js";
import type { Member } from "../../state/members/index.js";
import type { ForwardedOperation } from "./ForwardedOperation.js";
import type { CommitResult, ShardCommitter, SubmitOptions } from "./ShardCommitter.js";
import type { Wait } from "./Waiting.js";

import { Left } from "purify-ts/Either";
import { HOLDER_SUSPENSION_MS, HOLDER_TIMEOUT_MS, MAXIMUM_FORWARDED_OPERATIONS } from "./ClaimConstants.js";
import { awaitUnlessAborted, startDeadline } from "./Waiting.js";

/**
 * Sends an operation to a holder and returns the holder's result. Never rejects; without an answer,
 * `possiblyCommitted` states whether the holder may have received the operation.
 */
export type SendClaim = (holder: Member, request: ForwardedOperation, signal: AbortSignal) => Promise<CommitResult>;

export interface ForwardingOptions {
    /** Id of this daemon. */
    readonly self: string;
    /** Returns the holders of a shard in order of preference. */
    readonly selectHolders: (shard: number) => readonly Member[];
    readonly sendClaim: SendClaim;
    /** Monotonic time in milliseconds. */
    readonly uptime: () => number;
    readonly wait: Wait;
}

/**
 * Creates a committer that forwards operations to the holder of their shard, so that one write
 * commits operations of many daemons. It commits directly when no holder succeeds. Both may commit
 * the same operation: applying it again has no effect, and conditional updates keep the shard
 * consistent, so a wrong or paused holder costs only time.
 */
export function createForwardingCommitter(direct: ShardCommitter, options: ForwardingOptions): ShardCommitter {
    const suspendedUntil = new Map<string, number>();

    async function submit(
        shard: number,
        operation: ShardOperation,
        submission: SubmitOptions,
    ): Promise<CommitResult> {
        const request = {
            shard,
            operation,
            isFresh: submission.isFresh ?? false,
            remainingMs: HOLDER_TIMEOUT_MS,
        };
        let wasPossiblyCommitted = false;
        for (const holder of listAvailableHolders(shard)) {
            const result = await sendToHolder(holder, request, submission.signal);
            if (result.isRight() || submission.signal?.aborted) {
                return result.mapLeft(failure => markPossiblyCommitted(failure, wasPossiblyCommitted));
            }
            wasPossiblyCommitted ||= result.swap().map(failure => failure.possiblyCommitted).orDefault(true);
            markHolderSuspended(holder.id);
        }
        const result = await direct.submit(shard, operation, submission);
        return result.mapLeft(failure => markPossiblyCommitted(failure, wasPossiblyCommitted));
    }

    /** Returns the holders to try, in order, before this daemon commits directly; suspended holders are left out. */
    function listAvailableHolders(shard: number): readonly Member[] {
        const now = options.uptime();
        const holders = options.selectHolders(shard).filter(({ id }) => (suspendedUntil.get(id) ?? 0) <= now);
        const ownIndex = holders.findIndex(({ id }) => id === options.self);
        return ownIndex < 0 ? holders : holders.slice(0, ownIndex);
    }

    async function sendToHolder(
        holder: Member,
        request: ForwardedOperation,
        signal: AbortSignal | undefined,
    ): Promise<CommitResult> {
        const deadline = startDeadline(request.remainingMs, options.wait, signal);
        const result = await awaitUnlessAborted(options.sendClaim(holder, request, deadline.signal), deadline.signal);
        deadline.clear();
        return result ?? Left({ possiblyCommitted: true, detail: `${holder.id} gave no answer in time` });
    }

    function markHolderSuspended(id: string): void {
        const now = options.uptime();
        for (const [other, until] of suspendedUntil) {
            if (until <= now) {
                suspendedUntil.delete(other);
            }
        }
        suspendedUntil.set(id, now + HOLDER_SUSPENSION_MS);
    }

    return { submit, stop: () => direct.stop() };
}

function markPossiblyCommitted<T extends { readonly possiblyCommitted: boolean; }>(
    failure: T,
    wasPossiblyCommitted: boolean,
): T {
    return { ...failure, possiblyCommitted: failure.possiblyCommitted || wasPossiblyCommitted };
}

/** Commits an operation that another daemon forwarded to this one. */
export type HandleForwardedOperation = (request: ForwardedOperation) => Promise<CommitResult>;

/** Creates the holder's side: operations wait no longer than their owner does, and their number is limited. */
export function createForwardedOperationHandler(direct: ShardCommitter, wait: Wait): HandleForwardedOperation {
    let waiting = 0;
    return async request => {
        if (waiting >= MAXIMUM_FORWARDED_OPERATIONS) {
            return Left({ possiblyCommitted: false, detail: "the holder has too many operations" });
        }
        waiting += 1;
        const deadline = startDeadline(Math.min(request.remainingMs, HOLDER_TIMEOUT_MS), wait, undefined);
        const result = await direct.submit(request.shard, request.operation, {
            isFresh: request.isFresh,
            signal: deadline.signal,
        });
        deadline.clear();
        waiting -= 1;
        return result;
    };
}
