/**
 * Follows the configuration in the store while this daemon should: by a watch, by checks while it waits, and by a
 * reading of what is newer than the last confirmed position when it begins.
 */
import { Left } from "purify-ts/Either";
import type { VersionFreshness } from "../../coordination/distribution/index.js";
import type { ConfigurationReadResult, MeshStorePort, StoreError, StorePosition } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { sleepFor } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { AnswerTimeout } from "./AnswerTimeout.js";
import { CHECK_WAIT_MS, WATCH_WAIT_MS, WATCHER_CHECK_INTERVAL_MS } from "./DirectoryConstants.js";
import { generateStoreDelays } from "./StoreDelays.js";
import { WatchGuard } from "./WatchGuard.js";
import type { StoreReading, TimedReading } from "./WatchGuard.js";

export interface StoreFollowerOptions {
    readonly store: MeshStorePort;
    readonly freshness: VersionFreshness;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    /** Number of daemons in all regions, which share the store's rate. */
    countDaemons(): number;
    shouldWatch(): boolean;
    /** Time until the version has to be confirmed again, if the store takes `roundTripMs` to answer. */
    computeCheckDelayMs(roundTripMs: number): number;
    /** Applies a reading; false after an internal error. */
    applyReading(reading: TimedReading): boolean;
    /** Called when a check found nothing newer than the watch has told. */
    onConfirmed(reading: TimedReading): void;
    onFailed(): void;
    /** Called when the store is left to other daemons. */
    onLeft(): void;
}

export class StoreFollower {
    readonly #options: StoreFollowerOptions;
    readonly #guard: WatchGuard;
    readonly #timeout = new AnswerTimeout();
    /** From which the next watch continues; undefined while this daemon doesn't watch. */
    #position: StorePosition | undefined;
    #isStopping = false;
    #isStoreUnreachable = false;

    constructor(options: StoreFollowerOptions) {
        this.#options = options;
        this.#guard = new WatchGuard({
            computeCheckDelayMs: () => options.computeCheckDelayMs(this.#timeout.roundTripMs),
            onConfirmed: reading => options.onConfirmed(reading),
            sleep: ms => sleepFor(options.timers, ms),
        });
    }

    get isWatching(): boolean {
        return this.#position !== undefined;
    }

    start(): void {
        void this.#run();
    }

    stop(): void {
        this.#isStopping = true;
    }

    /**
     * Reads what is newer than the last confirmed position, or all if the store no longer knows it. An error that the
     * store's client throws is a `Left` too.
     */
    async readNewest(): Promise<StoreReading> {
        const { freshness, now, store } = this.#options;
        const { position } = freshness;
        if (position !== undefined) {
            const found = await this.#call(() => this.#check(position));
            if (!isHistoryLost(found)) {
                return found;
            }
            freshness.removePosition();
        }
        const startedAt = now();
        return await this.#call(async () =>
            this.#recordAnswer((await store.readConfiguration()).map(addTime(startedAt)), startedAt)
        );
    }

    async #run(): Promise<void> {
        const { applyReading, countDaemons, onLeft, random, shouldWatch, timers } = this.#options;
        let delays = generateStoreDelays(countDaemons, random);
        let hasLostHistory = false;
        while (!this.#isStopping) {
            if (!shouldWatch()) {
                if (this.isWatching) {
                    this.#options.log.info("leaves the store to other watchers of the region.");
                }
                this.#position = undefined;
                onLeft();
                await sleepFor(timers, WATCHER_CHECK_INTERVAL_MS);
                continue;
            }
            const position = this.#position;
            const result = position === undefined ? await this.readNewest() : await this.#watch(position);
            const pauseMs = result.caseOf({
                Left: error => {
                    this.#handleError(error);
                    // A store that refuses each watch is not read without a pause.
                    const isFirst = !hasLostHistory;
                    const isLost = isHistoryLost(result);
                    hasLostHistory ||= isLost;
                    return isLost && isFirst ? 0 : delays.next().value;
                },
                Right: reading => {
                    if (position !== undefined) {
                        hasLostHistory = false;
                    }
                    if (!hasLostHistory) {
                        delays = generateStoreDelays(countDaemons, random);
                    }
                    this.#begin(reading.position);
                    return applyReading(reading) ? 0 : delays.next().value;
                },
            });
            if (pauseMs > 0) {
                await sleepFor(timers, pauseMs);
            }
        }
    }

    async #watch(position: StorePosition): Promise<StoreReading> {
        const { now, store } = this.#options;
        return await this.#call(async () => {
            const startedAt = now();
            // The store may cut a watch short, and its answer may be read late, so only its start is certain.
            const watch = store.watchConfiguration(position, WATCH_WAIT_MS).then(result =>
                result.map(reading => ({
                    ...reading,
                    at: startedAt,
                    workedUntil: Math.min(now(), startedAt + WATCH_WAIT_MS),
                }))
            );
            return await this.#guard.awaitWatch(watch, () => this.#check(position));
        });
    }

    /** Asks for what is newer than a position, without waiting for it at the store. */
    async #check(position: StorePosition): Promise<StoreReading> {
        const { now, store } = this.#options;
        const startedAt = now();
        const result = await store.watchConfiguration(position, CHECK_WAIT_MS, this.#timeout.timeoutMs);
        return this.#recordAnswer(result.map(addTime(startedAt)), startedAt);
    }

    #recordAnswer(result: StoreReading, startedAt: number): StoreReading {
        if (result.isRight()) {
            this.#timeout.recordAnswer(this.#options.now() - startedAt);
        }
        else {
            this.#timeout.recordMissedAnswer();
        }
        return result;
    }

    async #call(read: () => Promise<StoreReading>): Promise<StoreReading> {
        try {
            return await read();
        }
        catch (error) {
            this.#options.log.error("the store could not be read for an internal error.", { err: error });
            return Left({ detail: (error as Error).message, kind: "unknown" });
        }
    }

    #begin(position: StorePosition): void {
        const { log } = this.#options;
        if (!this.isWatching) {
            log.info("watches the store.", { ...position });
        }
        this.#position = position;
        if (this.#isStoreUnreachable) {
            this.#isStoreUnreachable = false;
            log.info("the store answers again.");
        }
    }

    #handleError(error: StoreError): void {
        const { log, onFailed } = this.#options;
        this.#position = undefined;
        onFailed();
        if (!this.#isStoreUnreachable) {
            this.#isStoreUnreachable = true;
            log.warn(`the store can't be watched: ${error.detail}.`, { error });
        }
    }
}

/** Whether the store no longer knows the changes since a position. */
function isHistoryLost(result: StoreReading): boolean {
    return result.swap().map(error => error.kind === "refused" && error.reason === "history").orDefault(false);
}

function addTime(at: number): (reading: ConfigurationReadResult) => TimedReading {
    return reading => ({ ...reading, at, workedUntil: at });
}
