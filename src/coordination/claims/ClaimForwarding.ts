import type { ShardOperation } from "../../state/claims/index.js";
import type { Member } from "../../state/members/index.js";
import type { ForwardedOperation } from "./ForwardedOperation.js";
import type { CommitResult, ShardCommitter, SubmitOptions } from "./ShardCommitter.js";
import type { Wait } from "./Waiting.js";

import { Left } from "purify-ts/Either";
import { HOLDER_SUSPENSION_MS, HOLDER_TIMEOUT_MS, MAXIMUM_FORWARDED_OPERATIONS } from "./ClaimConstants.js";
import { awaitUnlessAborted, startDeadline } from "./Waiting.js";

/**
 * Sends an operation to a holder and returns the holder's result. Never rejects; when no answer
 * comes, `possiblyCommitted` tells whether the holder may have received the operation.
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
 * Creates a committer that lets the holder of a shard commit, so that one write carries operations
 * of many daemons. It commits directly when no holder succeeds. Both may commit the same operation:
 * applying it again has no effect, and conditional updates keep the shard consistent, so a wrong or
 * paused holder costs time only.
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

    /** Returns the holders that are worth a try before this daemon commits itself. */
    function listAvailableHolders(shard: number): readonly Member[] {
        const now = options.uptime();
        const holders = options.selectHolders(shard).filter(({ id }) => (suspendedUntil.get(id) ?? 0) <= now);
        const own = holders.findIndex(({ id }) => id === options.self);
        return own < 0 ? holders : holders.slice(0, own);
    }

    async function sendToHolder(
        holder: Member,
        request: ForwardedOperation,
        signal: AbortSignal | undefined,
    ): Promise<CommitResult> {
        const ending = startDeadline(request.remainingMs, options.wait, signal);
        const result = await awaitUnlessAborted(options.sendClaim(holder, request, ending.signal), ending.signal);
        ending.clear();
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
    wasPossible: boolean,
): T {
    return { ...failure, possiblyCommitted: failure.possiblyCommitted || wasPossible };
}

/** Commits an operation that another daemon forwarded to this one. */
export type HandleForwardedOperation = (request: ForwardedOperation) => Promise<CommitResult>;

/** Creates the holder's side: operations wait at most as long as their owner, and their number is limited. */
export function createForwardedOperationHandler(direct: ShardCommitter, wait: Wait): HandleForwardedOperation {
    let waiting = 0;
    return async request => {
        if (waiting >= MAXIMUM_FORWARDED_OPERATIONS) {
            return Left({ possiblyCommitted: false, detail: "the holder has too many operations" });
        }
        waiting += 1;
        const ending = startDeadline(Math.min(request.remainingMs, HOLDER_TIMEOUT_MS), wait, undefined);
        const result = await direct.submit(request.shard, request.operation, {
            isFresh: request.isFresh,
            signal: ending.signal,
        });
        ending.clear();
        waiting -= 1;
        return result;
    };
}
