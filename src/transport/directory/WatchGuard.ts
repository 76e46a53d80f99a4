/**
 * Notices that the store no longer answers this daemon while a watch waits there, long before the watch would have been
 * answered. Without it a version that is written meanwhile is unknown for the whole wait, if no other watch works.
 */
import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import type { StoreError } from "../../state/store/index.js";
import {
    MAXIMUM_PROBE_TIMEOUT_MS,
    MINIMUM_PROBE_TIMEOUT_MS,
    PROBE_INTERVAL_MS,
    PROBE_ROUND_TRIPS,
} from "./DirectoryConstants.js";

export interface WatchGuardOptions {
    readonly now: () => number;
    readonly sleep: (ms: number) => Promise<unknown>;
    /** Asks the store for an answer; Left when there is none within `timeoutMs`. */
    probe(timeoutMs: number): Promise<Either<StoreError, void>>;
}

export class WatchGuard {
    readonly #options: WatchGuardOptions;
    /** Time that the last answer took; a store that is slow for all isn't taken to be silent. */
    #roundTripMs = 0;

    constructor(options: WatchGuardOptions) {
        this.#options = options;
    }

    recordRoundTrip(ms: number): void {
        this.#roundTripMs = ms;
    }

    /** Resolves with the result of a watch, or with the error of a probe that has failed before. */
    async awaitWatch<T>(watch: Promise<Either<StoreError, T>>): Promise<Either<StoreError, T>> {
        let isOver = false;
        try {
            return await Promise.race([watch, this.#probeUntilFailure(() => isOver)]);
        }
        finally {
            isOver = true;
        }
    }

    async #probeUntilFailure(isOver: () => boolean): Promise<Either<StoreError, never>> {
        for (;;) {
            await this.#options.sleep(PROBE_INTERVAL_MS);
            if (isOver()) {
                return Left({ detail: "the watch has ended", kind: "unknown" });
            }
            const startedAt = this.#options.now();
            const timeoutMs = Math.min(
                MAXIMUM_PROBE_TIMEOUT_MS,
                Math.max(MINIMUM_PROBE_TIMEOUT_MS, PROBE_ROUND_TRIPS * this.#roundTripMs),
            );
            const result = await this.#options.probe(timeoutMs);
            if (result.isLeft()) {
                const { detail } = result.extract() as StoreError;
                return Left({ detail: `a probe failed while a watch waited: ${detail}`, kind: "unreachable" });
            }
            this.recordRoundTrip(this.#options.now() - startedAt);
        }
    }
}
