import type { Claim, ShardOperation } from "../../state/claims/index.js";
import type { Random } from "../../state/shared/index.js";
import type { StorePort } from "../../state/store/index.js";
import type { ClaimOutcome, ClaimPort, RecordedAnswer } from "./ClaimPort.js";
import type { AttemptEnd } from "./LocalAttempts.js";
import type { CommitFailure, CommitResult, ShardCommitter } from "./ShardCommitter.js";
import type { Wait } from "./Waiting.js";

import { Left } from "purify-ts/Either";
import { ClaimState, hashKey, selectShard } from "../../state/claims/index.js";
import { decodeAnswer, encodeAnswer } from "./AnswerEncoding.js";
import { POLL_BASE_MS, POLL_MAXIMUM_MS, SETTLE_TIMEOUT_MS } from "./ClaimConstants.js";
import { createDirectCommitter } from "./DirectCommitter.js";
import { LocalAttempts } from "./LocalAttempts.js";
import { createShardCountReader } from "./ShardLayout.js";
import { awaitUnlessAborted, generatePollDelays, startDeadline } from "./Waiting.js";

/** Settings of claims, from the document in force. */
export interface ClaimSettings {
    /** Used only when the store has no claims yet. */
    readonly shards: number;
    readonly retentionMs: number;
    /** Maximum size of the headers and body of an answer that is stored. */
    readonly answerBytes: number;
}

export interface ClaimManagerOptions {
    readonly store: StorePort;
    /** Id of this daemon. */
    readonly executor: string;
    readonly readSettings: () => ClaimSettings;
    /** Current time in milliseconds, on the same clock as the deadlines passed to `claim`. */
    readonly now: () => number;
    /** Monotonic time in milliseconds; measures retention and backoff. */
    readonly uptime: () => number;
    readonly wait: Wait;
    readonly random: Random;
    /** Whether the daemon is known to be dead; repeated requests then do not wait for its attempts. */
    readonly isExecutorGone?: (executor: string) => boolean;
    /** Wraps the committer that writes to the store, for example to forward operations to a holder. */
    readonly wrapCommitter?: (direct: ShardCommitter) => ShardCommitter;
}

export interface ClaimManager extends ClaimPort {
    /** Applies operations that other daemons forward to this one. */
    readonly committer: ShardCommitter;
    /** Cancels all waits; calls in progress resolve as refused or unknown. */
    stop(): void;
}

const ID_DIGITS = 8;

/** Creates the claim manager of one daemon. Its executor id is the daemon's id with a suffix unique to this start. */
export function createClaimManager(options: ClaimManagerOptions): ClaimManager {
    const { store, now, wait, readSettings } = options;
    const instance = `${generateId(options.random)}${generateId(options.random)}`;
    const executor = `${options.executor}/${instance}`;
    let lastId = 0;
    const createId = (): string => `${executor}/${++lastId}`;
    const readShardCount = createShardCountReader(store, () => readSettings().shards);
    const direct = createDirectCommitter({
        ...options,
        createId,
        readRetentionMs: () => readSettings().retentionMs,
    });
    const committer = options.wrapCommitter?.(direct) ?? direct;
    /** Whether another daemon may commit an operation after this one has received its result. */
    const canCommitLate = committer !== direct;
    const localAttempts = new LocalAttempts();

    async function claim(
        service: string,
        key: string,
        deadline: number,
        signal?: AbortSignal,
    ): Promise<ClaimOutcome> {
        const deadlineTimer = startDeadline(deadline - now(), wait, signal);
        const operation = { kind: "claim", keyHash: hashKey(service, key), executor, attempt: createId() } as const;
        try {
            return await claimUntilAborted(operation, deadlineTimer.signal);
        }
        finally {
            deadlineTimer.clear();
        }
    }

    /** Retries until the key is granted, the outcome of its attempt is known, or the signal aborts. */
    async function claimUntilAborted(
        operation: ShardOperation & { readonly kind: "claim"; },
        signal: AbortSignal,
    ): Promise<ClaimOutcome> {
        const pollDelays = generatePollDelays(POLL_BASE_MS, POLL_MAXIMUM_MS);
        for (let competingEntry: Claim | undefined;;) {
            const localOutcome = await awaitLocalAttempt(operation.keyHash, signal);
            if (localOutcome) {
                cancelIfPossiblyCommitted(
                    operation,
                    canCommitLate && localOutcome.kind === "unknown" && competingEntry !== undefined,
                );
                return localOutcome;
            }
            const result = await submit(operation, signal, competingEntry !== undefined);
            if (result.isLeft()) {
                return describeFailure(operation, result.extract() as CommitFailure, competingEntry);
            }
            const entry = result.extract() as Claim;
            if (entry.attempt === operation.attempt) {
                return grantClaim(operation, entry, signal);
            }
            const outcome = describeSettledClaim(entry);
            if (outcome) {
                return outcome;
            }
            competingEntry = entry;
            await wait(pollDelays.next().value, signal);
        }
    }

    async function submit(
        operation: ShardOperation,
        signal: AbortSignal | undefined,
        isFresh: boolean,
    ): Promise<CommitResult> {
        const shards = await awaitUnlessAborted(readShardCount(), signal);
        if (shards === undefined || shards.isLeft()) {
            const detail = shards ? shards.extract() as string : "the deadline passed";
            return Left({ possiblyCommitted: false, detail });
        }
        const shard = selectShard(operation.keyHash, shards.extract() as number);
        return committer.submit(shard, operation, { isFresh, ...(signal && { signal }) });
    }

    /** Waits for the key's attempt in this process; undefined if there is none or it was released. */
    async function awaitLocalAttempt(keyHash: string, signal: AbortSignal): Promise<ClaimOutcome | undefined> {
        const localAttempt = localAttempts.get(keyHash);
        if (localAttempt === undefined) {
            return undefined;
        }
        const end = await awaitUnlessAborted(localAttempt.ended, signal);
        switch (end?.kind) {
            case "done":
                return end.answer ? { kind: "answered", answer: end.answer } : { kind: "already-ran" };
            case "released":
                return undefined;
            case "abandoned":
                return { kind: "unknown", detail: "the end of an earlier attempt cannot be known" };
            default:
                return { kind: "unknown", detail: "an earlier attempt is still running" };
        }
    }

    /** Grants the key, unless the deadline passed between the commit and this call; such a claim is never executed. */
    function grantClaim(operation: ShardOperation, entry: Claim, signal: AbortSignal): ClaimOutcome {
        if (entry.state !== ClaimState.Claimed || signal.aborted) {
            cancelClaim(operation);
            return { kind: "refused", detail: "the key was claimed too late and is given back" };
        }
        localAttempts.begin(operation.keyHash, operation.attempt);
        return { kind: "granted", attempt: operation.attempt };
    }

    /** Only this call could have executed the attempt, so "refused" is correct even if the claim was committed. */
    function describeFailure(
        operation: ShardOperation,
        failure: CommitFailure,
        competingEntry: Claim | undefined,
    ): ClaimOutcome {
        cancelIfPossiblyCommitted(
            operation,
            failure.possiblyCommitted || (canCommitLate && competingEntry !== undefined),
        );
        return competingEntry
            ? { kind: "unknown", detail: `${competingEntry.executor} holds the key and its run has not ended` }
            : { kind: "refused", detail: failure.detail };
    }

    /**
     * Releases an attempt that is in the store or may still reach it, so that it does not block repeated
     * requests. If another attempt held the key, a slow holder may still commit this one once that
     * attempt has released the key.
     */
    function cancelIfPossiblyCommitted(operation: ShardOperation, isPossiblyCommitted: boolean): void {
        if (isPossiblyCommitted) {
            cancelClaim(operation);
        }
    }

    function cancelClaim(operation: ShardOperation): void {
        void submit({ ...operation, kind: "settle", state: ClaimState.Released }, undefined, false);
    }

    /** Returns the outcome that another attempt's entry determines; undefined while that attempt may be running. */
    function describeSettledClaim(entry: Claim): ClaimOutcome | undefined {
        if (entry.state === ClaimState.Done) {
            return entry.answer ? { kind: "answered", answer: decodeAnswer(entry.answer) } : { kind: "already-ran" };
        }
        const daemon = entry.executor.slice(0, entry.executor.lastIndexOf("/"));
        const isEarlierInstance = daemon === options.executor && entry.executor !== executor;
        if (entry.state === ClaimState.Abandoned || isEarlierInstance || options.isExecutorGone?.(daemon)) {
            return { kind: "unknown", detail: `the end of the attempt on ${daemon} cannot be known` };
        }
        return undefined;
    }

    /**
     * Records the end of an attempt, first for waiters in this process and then in the store. The
     * returned promise resolves after `SETTLE_TIMEOUT_MS` at most, even if the store does not answer.
     */
    async function settle(service: string, key: string, attempt: string, end: AttemptEnd): Promise<void> {
        const keyHash = hashKey(service, key);
        localAttempts.end(keyHash, attempt, end);
        const answer = end.kind === "done" && end.answer
            ? encodeAnswer(end.answer, readSettings().answerBytes)
            : undefined;
        const operation = { kind: "settle", keyHash, executor, attempt, state: end.kind } as const;
        const recorded = submit({ ...operation, ...(answer && { answer }) }, undefined, false)
            .then(() => localAttempts.remove(keyHash, attempt));
        const deadlineTimer = startDeadline(SETTLE_TIMEOUT_MS, wait, undefined);
        await awaitUnlessAborted(recorded, deadlineTimer.signal);
        deadlineTimer.clear();
    }

    function complete(
        service: string,
        key: string,
        attempt: string,
        answer: RecordedAnswer | undefined,
    ): Promise<void> {
        return settle(service, key, attempt, { kind: "done", answer });
    }

    function release(service: string, key: string, attempt: string): Promise<void> {
        return settle(service, key, attempt, { kind: "released" });
    }

    function abandon(service: string, key: string, attempt: string): Promise<void> {
        return settle(service, key, attempt, { kind: "abandoned" });
    }

    return { claim, complete, release, abandon, committer: direct, stop: () => committer.stop() };
}

function generateId(random: Random): string {
    return Math.floor(random() * 0x1_0000_0000).toString(16).padStart(ID_DIGITS, "0");
}
