import type { Either } from "purify-ts/Either";
import type { Claim, ClaimShard, ShardOperation } from "../../state/claims/index.js";
import type { Random } from "../../state/shared/index.js";
import type { StoredObject, StoreError, StorePort } from "../../state/store/index.js";
import type { CommitResult, SubmitOptions } from "./ShardCommitter.js";
import type { ShardHead } from "./TailSealing.js";
import type { Wait } from "./Waiting.js";

import { Left, Right } from "purify-ts/Either";
import { applyOperations, decodeShard, encodeClaims, formatShardKey } from "../../state/claims/index.js";
import {
    BACKOFF_BASE_MS,
    BACKOFF_MAXIMUM_MS,
    COMMIT_BURST,
    COMMIT_INTERVAL_MS,
    FAILURES_BEFORE_REFUSAL,
    HEAD_CACHE_TTL_MS,
} from "./ClaimConstants.js";
import { PendingOperations } from "./PendingOperations.js";
import { createSealedClaims } from "./SealedClaims.js";
import { createTailSealing } from "./TailSealing.js";
import { computeBackoffDelay } from "./Waiting.js";

/** Dependencies of a shard writer. */
export interface ShardWriterContext {
    readonly store: StorePort;
    /** Monotonic time in milliseconds, unaffected by steps of the wall clock. */
    readonly uptime: () => number;
    readonly wait: Wait;
    readonly random: Random;
    readonly readRetentionMs: () => number;
    /** Returns an id that is unique in the mesh. */
    readonly createId: () => string;
}

/**
 * Why a commit round had no effect: `contended` if another writer came first or the store limits the
 * rate, `failed` if a call to the store failed.
 */
type CommitRoundFailure = { readonly kind: "contended" | "failed"; readonly detail: string; };

const EMPTY_SHARD: ClaimShard = { clock: 0, tail: [], cancelled: [], sealed: [], removed: [] };

/**
 * Writes one shard by conditional updates. Operations that arrive during a write are part of the
 * next one. Commit rounds run one after the other while operations are pending; each round reads the
 * head if the cached one is too old, applies the pending operations and writes the result.
 */
export class ShardWriter {
    readonly #context: ShardWriterContext;
    readonly #objectKey: string;
    readonly #pending: PendingOperations;
    readonly #sealed;
    readonly #sealing;
    readonly #stopped = new AbortController();
    #head: ShardHead | undefined;
    /** Pair of shard clock and uptime at the first read; later shard clocks are derived from it. */
    #clockBase: { readonly clock: number; readonly uptime: number; } | undefined;
    #isRunning = false;
    /** Time at which all writes so far conform to the commit interval; see `COMMIT_BURST`. */
    #pacedUntil = -Infinity;
    #consecutiveFailures = 0;
    #consecutiveContentions = 0;
    #nextRoundAt = -Infinity;

    constructor(shard: number, context: ShardWriterContext) {
        this.#context = context;
        this.#objectKey = formatShardKey(shard);
        this.#pending = new PendingOperations();
        this.#sealed = createSealedClaims(context.store);
        this.#sealing = createTailSealing(context.store, shard, context.createId);
    }

    submit(operation: ShardOperation, options: SubmitOptions): Promise<CommitResult> {
        if (this.#stopped.signal.aborted) {
            return Promise.resolve(Left({ possiblyCommitted: false, detail: "the ledger has stopped" }));
        }
        const now = this.#context.uptime();
        if (
            operation.kind === "claim" && this.#consecutiveFailures >= FAILURES_BEFORE_REFUSAL
            && now < this.#nextRoundAt
        ) {
            return Promise.resolve(Left({ possiblyCommitted: false, detail: "the store gives no answer" }));
        }
        const result = this.#pending.add(operation, now, options);
        this.#startRounds();
        return result;
    }

    stop(): void {
        this.#stopped.abort();
        this.#pending.fail(() => true, "the ledger has stopped");
    }

    #startRounds(): void {
        if (!this.#isRunning) {
            this.#isRunning = true;
            void this.#runCommitRounds().finally(() => {
                this.#isRunning = false;
            });
        }
    }

    async #runCommitRounds(): Promise<void> {
        const { uptime, wait } = this.#context;
        while (this.#pending.size > 0 && !this.#stopped.signal.aborted) {
            const nextWriteAt = this.#pacedUntil - (COMMIT_BURST - 1) * COMMIT_INTERVAL_MS;
            const pauseMs = Math.max(this.#nextRoundAt, nextWriteAt) - uptime();
            if (pauseMs > 0) {
                await wait(pauseMs, this.#stopped.signal);
                continue;
            }
            const result = await this.#runCommitRound();
            result.ifLeft(failure => this.#handleFailure(failure));
        }
    }

    async #runCommitRound(): Promise<Either<CommitRoundFailure, void>> {
        const { uptime, readRetentionMs } = this.#context;
        const selected = this.#pending.selectBatch();
        const read = await this.#readHead(this.#pending.freshSince);
        if (read.isLeft()) {
            return Left(read.extract() as CommitRoundFailure);
        }
        const head = read.extract() as ShardHead;
        const base = await this.#sealing.prepare(head);
        const sealedEntries = await this.#sealed.find(base.sealed, selectKeysOutsideTail(base, selected.operations));
        if (sealedEntries.isLeft()) {
            this.#head = undefined;
            return Left({ kind: "failed", detail: sealedEntries.extract() as string });
        }
        const batch = selected.dropCancelled();
        const applied = applyOperations(base, batch.operations, {
            clock: this.#advanceClock(base.clock, uptime()),
            retentionMs: readRetentionMs(),
            sealedEntries: sealedEntries.extract() as ReadonlyMap<string, Claim>,
        });
        if (applied.isChanged) {
            const written = await this.#writeHead(head, applied.shard, () => batch.markInFlight());
            if (written.isLeft()) {
                const error = written.extract() as StoreError;
                batch.markWritten(error.kind === "unknown");
                return Left(classifyWriteError(error));
            }
            batch.markWritten(false);
        }
        else if (batch.requiresFreshHead(applied.entries, head.confirmedAt)) {
            this.#head = undefined;
            return Right(undefined);
        }
        this.#consecutiveFailures = 0;
        this.#consecutiveContentions = 0;
        batch.deliver(applied.entries);
        return Right(undefined);
    }

    async #readHead(freshSince: number): Promise<Either<CommitRoundFailure, ShardHead>> {
        const startedAt = this.#context.uptime();
        const cached = this.#head;
        if (cached && cached.confirmedAt >= freshSince && startedAt - cached.confirmedAt < HEAD_CACHE_TTL_MS) {
            return Right(cached);
        }
        const result = await this.#context.store.get(this.#objectKey);
        return result
            .mapLeft((error): CommitRoundFailure => ({ kind: "failed", detail: error.detail }))
            .chain(object => decodeHead(object, startedAt))
            .ifRight(head => {
                this.#head = head;
                this.#clockBase ??= { clock: head.shard.clock, uptime: startedAt };
            });
    }

    async #writeHead(
        head: ShardHead,
        shard: ClaimShard,
        onSend: () => void,
    ): Promise<Either<StoreError, ShardHead>> {
        const startedAt = this.#context.uptime();
        this.#pacedUntil = Math.max(this.#pacedUntil, startedAt) + COMMIT_INTERVAL_MS;
        const value = encodeClaims(shard);
        onSend();
        const result = await this.#context.store.put(
            this.#objectKey,
            value,
            head.version === undefined ? { kind: "absent" } : { kind: "version", version: head.version },
        );
        const written = result.map((version): ShardHead => ({
            shard,
            version,
            bytes: value.length,
            confirmedAt: startedAt,
        }));
        this.#head = written.isRight() ? written.extract() as ShardHead : undefined;
        if (written.isRight() && shard.removed.length > 0) {
            void this.#sealing.clean(shard);
        }
        return written;
    }

    /** Advances the clock by the time that this process observed, so that a wrong wall clock expires nothing early. */
    #advanceClock(clock: number, uptime: number): number {
        const base = this.#clockBase;
        return base ? Math.max(clock, Math.floor(base.clock + uptime - base.uptime)) : clock;
    }

    #handleFailure(failure: CommitRoundFailure): void {
        const { random, uptime } = this.#context;
        this.#consecutiveFailures += failure.kind === "failed" ? 1 : 0;
        this.#consecutiveContentions += failure.kind === "contended" ? 1 : 0;
        const doublings = this.#consecutiveFailures + this.#consecutiveContentions;
        this.#nextRoundAt = uptime() + computeBackoffDelay(doublings, BACKOFF_BASE_MS, BACKOFF_MAXIMUM_MS, random);
        if (this.#consecutiveFailures >= FAILURES_BEFORE_REFUSAL) {
            this.#pending.fail(operation => operation.kind === "claim", failure.detail);
        }
    }
}

function decodeHead(object: StoredObject | undefined, confirmedAt: number): Either<CommitRoundFailure, ShardHead> {
    if (object === undefined) {
        return Right({ shard: EMPTY_SHARD, version: undefined, bytes: 0, confirmedAt });
    }
    return decodeShard(object.value)
        .mapLeft((detail): CommitRoundFailure => ({ kind: "failed", detail: `${object.key} is damaged: ${detail}` }))
        .map(shard => ({ shard, version: object.version, bytes: object.value.length, confirmedAt }));
}

/** A rate limit is treated as contention: the store is reachable, and the write can succeed later. */
function classifyWriteError(error: StoreError): CommitRoundFailure {
    const isContended = error.kind === "refused" && (error.reason === "condition" || error.reason === "rate");
    return { kind: isContended ? "contended" : "failed", detail: error.detail };
}

function selectKeysOutsideTail(shard: ClaimShard, operations: readonly ShardOperation[]): ReadonlySet<string> {
    const inTail = new Set(shard.tail.map(entry => entry.keyHash));
    return new Set(operations.map(operation => operation.keyHash).filter(key => !inTail.has(key)));
}
