/** Watches the orders of roll-outs in the store while it is this daemon's turn. */
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type {
    RolloutListing,
    RolloutRecord,
    RolloutStorePort,
    StoreError,
    StorePosition,
    StoreResult,
} from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { sleepFor } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { RETRY_BASE_MS, RETRY_MAXIMUM_MS, WATCH_WAIT_MS } from "./RolloutConstants.js";

export interface OrderWatcherOptions {
    readonly store: Pick<RolloutStorePort, "listRollouts" | "watchRollouts">;
    readonly log: PartLogger;
    readonly random: () => number;
    readonly timers: Timers;
    onRecords(records: readonly RolloutRecord[]): void;
}

export class OrderWatcher {
    readonly #options: OrderWatcherOptions;
    #isWanted = false;
    #isRunning = false;

    constructor(options: OrderWatcherOptions) {
        this.#options = options;
    }

    get isWatching(): boolean {
        return this.#isWanted;
    }

    /** Begins or ends the watch; a call that waits ends by itself. */
    update(isWanted: boolean): void {
        if (isWanted !== this.#isWanted) {
            this.#isWanted = isWanted;
            this.#options.log.info(isWanted ? "watches the store for orders." : "no longer watches for orders.");
        }
        if (isWanted && !this.#isRunning) {
            this.#isRunning = true;
            void this.#run().finally(() => {
                this.#isRunning = false;
            });
        }
    }

    async #run(): Promise<void> {
        const { log, random, store, timers } = this.#options;
        const createDelays = () => generateBackoffDelays(RETRY_BASE_MS, () => RETRY_MAXIMUM_MS, random);
        let delays = createDelays();
        let position: StorePosition | undefined;
        let hasFailed = false;
        while (this.#isWanted) {
            const from = position;
            const result = await this.#try(() =>
                from === undefined ? store.listRollouts() : store.watchRollouts(from, WATCH_WAIT_MS)
            );
            if (result.isRight()) {
                const listing = result.extract() as RolloutListing;
                position = listing.position;
                this.#options.onRecords(listing.rollouts);
                delays = createDelays();
                hasFailed = false;
                continue;
            }
            const error = result.extract() as StoreError;
            if (error.kind === "refused" && error.reason === "history") {
                position = undefined;
            }
            if (!hasFailed) {
                hasFailed = true;
                log.warn(`orders can't be watched: ${error.detail}.`);
            }
            await sleepFor(timers, delays.next().value);
        }
    }

    async #try(call: () => StoreResult<RolloutListing>): Promise<Awaited<StoreResult<RolloutListing>>> {
        return await call();
    }
}
