/**
 * Asks the store while a watch waits there. An answer confirms the version in force, and tells a version that the watch
 * should have told: a watch can hang while the store answers. A missing answer ends the watch long before its own wait does.
 */
import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import type { ConfigurationReadResult, StoreError } from "../../state/store/index.js";
import { MINIMUM_CHECK_PAUSE_MS } from "./DirectoryConstants.js";

/** A reading of the store. */
export interface TimedReading extends ConfigurationReadResult {
    /** Time at which nothing newer was there. */
    readonly at: number;
    /** Time until which the store has answered; not a confirmation, since the answer may be read late. */
    readonly workedUntil: number;
}

export type StoreReading = Either<StoreError, TimedReading>;

export interface WatchGuardOptions {
    readonly sleep: (ms: number) => Promise<unknown>;
    /** Time until the version has to be confirmed again; 0 or less when it is due. */
    computeCheckDelayMs(): number;
    /** Called when the store had nothing newer. */
    onConfirmed(reading: TimedReading): void;
}

export class WatchGuard {
    readonly #options: WatchGuardOptions;

    constructor(options: WatchGuardOptions) {
        this.#options = options;
    }

    /**
     * Resolves with the result of a watch, of a check that tells a version before the watch does, or with the error of
     * a check that has failed before.
     */
    async awaitWatch(watch: Promise<StoreReading>, check: () => Promise<StoreReading>): Promise<StoreReading> {
        let isOver = false;
        try {
            return await Promise.race([watch, this.#checkUntilDecided(check, () => isOver)]);
        }
        finally {
            isOver = true;
        }
    }

    async #checkUntilDecided(check: () => Promise<StoreReading>, isOver: () => boolean): Promise<StoreReading> {
        const { computeCheckDelayMs, onConfirmed, sleep } = this.#options;
        for (;;) {
            await sleep(Math.max(MINIMUM_CHECK_PAUSE_MS, computeCheckDelayMs()));
            if (isOver()) {
                return Left({ detail: "the watch has ended", kind: "unknown" });
            }
            if (computeCheckDelayMs() > 0) {
                continue;
            }
            const result = await check();
            if (result.isLeft()) {
                return result.mapLeft(error => ({
                    ...error,
                    detail: `a probe failed while a watch waited: ${error.detail}`,
                }));
            }
            const reading = result.extract() as TimedReading;
            if (reading.configuration !== undefined) {
                return result;
            }
            if (!isOver()) {
                onConfirmed(reading);
            }
        }
    }
}
