/** Keeps quarantines in the store, so that they outlast the loss of all daemons at once. */
import { setTimeout as sleep } from "node:timers/promises";
import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import { QUARANTINE_RETENTION_MS } from "../../coordination/quarantine/index.js";
import type { Verdict } from "../../coordination/quarantine/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type { MeshStorePort, StoreError, StoreResult } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";

export interface QuarantineArchiveOptions {
    readonly store: Pick<MeshStorePort, "deleteQuarantine" | "listQuarantines" | "writeQuarantine">;
    readonly log: PartLogger;
    readonly now: () => number;
    /** Unix milliseconds. */
    readonly readWallClock: () => number;
    readonly random: () => number;
    /** Called with each quarantine that the store holds; `at` is a time of `now`. */
    restore(fingerprint: string, crashIds: readonly string[], at: number): void;
}

/** Backoff after a failed call, with full jitter. */
const RETRY_BASE_MS = 250;
const RETRY_MAXIMUM_MS = 5_000;

export class QuarantineArchive {
    readonly #options: QuarantineArchiveOptions;
    #isStopped = false;

    constructor(options: QuarantineArchiveOptions) {
        this.#options = options;
    }

    /** Reads the quarantines after a restart, and deletes those that are over. */
    async load(): Promise<void> {
        const { now, readWallClock, restore, store } = this.#options;
        const records = await this.#retry("quarantines can't be read", () => store.listQuarantines());
        for (const { crashIds, fingerprint, quarantinedAt } of records ?? []) {
            // The clock may have been set back since.
            const ageMs = Math.max(0, readWallClock() - quarantinedAt);
            if (ageMs < QUARANTINE_RETENTION_MS) {
                restore(fingerprint, crashIds, now() - ageMs);
            }
            else {
                await this.delete(fingerprint);
            }
        }
    }

    async write({ at, crashIds, fingerprint }: Verdict): Promise<void> {
        const { now, readWallClock, store } = this.#options;
        const quarantinedAt = Math.round(readWallClock() - (now() - at));
        await this.#retry(
            `the quarantine of ${fingerprint} can't be written`,
            () => store.writeQuarantine({ crashIds, fingerprint, quarantinedAt }),
        );
    }

    async delete(fingerprint: string): Promise<void> {
        await this.#retry(
            `the quarantine of ${fingerprint} can't be deleted`,
            () => this.#options.store.deleteQuarantine(fingerprint),
        );
    }

    stop(): void {
        this.#isStopped = true;
    }

    /** Repeats a call until it succeeds; undefined if the daemon stops before. */
    async #retry<T>(failure: string, call: () => StoreResult<T>): Promise<T | undefined> {
        const delays = generateBackoffDelays(RETRY_BASE_MS, () => RETRY_MAXIMUM_MS, this.#options.random);
        for (let isFirst = true; !this.#isStopped; isFirst = false) {
            const result = await this.#try(call);
            if (result.isRight()) {
                return result.unsafeCoerce();
            }
            if (isFirst) {
                this.#options.log.warn(`${failure}: ${(result.extract() as StoreError).detail}.`);
            }
            await sleep(delays.next().value);
        }
        return undefined;
    }

    async #try<T>(call: () => StoreResult<T>): Promise<Either<StoreError, T>> {
        try {
            return await call();
        }
        catch (error) {
            this.#options.log.error("the store could not be called for an internal error.", { err: error });
            return Left({ detail: (error as Error).message, kind: "unknown" });
        }
    }
}
