/**
 * Gets a newer version that another daemon is known to have: from one daemon first, from several at once when no copy
 * comes, and from the store as the last source.
 */
import type { VersionLag } from "../../coordination/distribution/index.js";
import type { Distance } from "../../coordination/placement/index.js";
import type { PartLogger } from "../logging/index.js";
import {
    FETCH_DELAY_MS,
    FETCH_RETRY_MS,
    OWN_WATCH_DELAY_MS,
    SINGLE_SOURCE_ATTEMPTS,
    STORE_READ_DELAY_MS,
    STORE_READ_SPREAD_PER_DAEMON_MS,
    STORE_REREAD_BASE_MS,
    STORE_REREAD_MAXIMUM_MS,
} from "./DirectoryConstants.js";

/** Another daemon that can be reached. */
export interface ReachablePeer {
    readonly id: string;
    readonly distance: Distance;
}

export interface VersionFetcherOptions {
    readonly lag: VersionLag;
    readonly log: PartLogger;
    readonly random: () => number;
    listReachable(): readonly ReachablePeer[];
    /** Number of daemons in all regions, which share the store's rate. */
    countDaemons(): number;
    isWatching(): boolean;
    /** Whether the version should have arrived long ago, since the own one was last known to be the newest. */
    isVersionOverdue(now: number): boolean;
    /** Asks another daemon for its version. */
    requestConfiguration(id: string): void;
    /** Reads the store once, without watching it; `onAnswered` is called when it has answered, also by a refusal. */
    readStore(onAnswered: () => void): void;
}

export class VersionFetcher {
    readonly #options: VersionFetcherOptions;
    #requestedAt = -Infinity;
    /** Requests since the last version came into force. */
    #attempts = 0;
    #ownVersion: number | undefined;
    #lastSources: ReadonlySet<string> = new Set();
    /** Share of the spread that this daemon waits, drawn anew for each reading. */
    #spread = 0;
    #storeReads = 0;
    /** Readings that have not brought the version: the store holds nothing newer, or refuses them. */
    #answeredReads = 0;
    #storeReadAt = -Infinity;

    constructor(options: VersionFetcherOptions) {
        this.#options = options;
    }

    /** Asks for the newer version, if it has not arrived from elsewhere in time. */
    fetchIfBehind(now: number): void {
        const { isWatching, lag, random } = this.#options;
        const behindMs = lag.readBehindMs(now);
        // While versions follow each other their copies do arrive; more of them would only fill the links.
        if (behindMs === undefined || lag.own !== this.#ownVersion) {
            this.#ownVersion = lag.own;
            this.#attempts = 0;
            this.#storeReads = 0;
            this.#answeredReads = 0;
            this.#spread = random();
        }
        if (behindMs === undefined) {
            return;
        }
        this.#readStoreIfDue(behindMs, now);
        if (now - this.#requestedAt < FETCH_RETRY_MS) {
            return;
        }
        const sources = this.#selectSources(behindMs - (isWatching() ? OWN_WATCH_DELAY_MS : 0));
        for (const { id } of sources) {
            this.#options.log.info(`asked ${id} for its version.`, {
                behindMs: Math.round(behindMs),
                peer: id,
                version: lag.own,
                wanted: lag.getPeerVersion(id),
            });
            this.#options.requestConfiguration(id);
        }
        if (sources.length > 0) {
            this.#requestedAt = now;
            this.#attempts++;
            this.#lastSources = new Set(sources.map(({ id }) => id));
        }
    }

    /** Selects one of the nearest daemons, and after some attempts another one besides, which may be in another region. */
    #selectSources(waitedMs: number): readonly ReachablePeer[] {
        const { lag, listReachable } = this.#options;
        const peers = listReachable().filter(({ distance, id }) =>
            lag.hasNewer(id) && waitedMs >= FETCH_DELAY_MS[distance]
        );
        const nearest = Math.min(...peers.map(({ distance }) => distance));
        const first = this.#selectOne(peers.filter(({ distance }) => distance === nearest));
        if (first === undefined || this.#attempts < SINGLE_SOURCE_ATTEMPTS) {
            return first === undefined ? [] : [first];
        }
        const second = this.#selectOne(peers.filter(({ id }) => id !== first.id));
        return second === undefined ? [first] : [first, second];
    }

    /** Selects at random, of those that were not asked the last time if there are any. */
    #selectOne(peers: readonly ReachablePeer[]): ReachablePeer | undefined {
        const others = peers.filter(({ id }) => !this.#lastSources.has(id));
        const candidates = others.length > 0 ? others : peers;
        return candidates[Math.floor(this.#options.random() * candidates.length)];
    }

    #readStoreIfDue(behindMs: number, now: number): void {
        const spreadMs = this.#spread * this.#options.countDaemons() * STORE_READ_SPREAD_PER_DAEMON_MS;
        const pauseMs = Math.min(STORE_REREAD_BASE_MS * 2 ** this.#answeredReads, STORE_REREAD_MAXIMUM_MS);
        const isDue = this.#storeReads === 0
            ? behindMs >= STORE_READ_DELAY_MS + spreadMs || this.#options.isVersionOverdue(now)
            : now - this.#storeReadAt >= pauseMs + spreadMs;
        if (isDue) {
            this.#storeReads++;
            this.#storeReadAt = now;
            this.#spread = this.#options.random();
            this.#options.log.info("reads the store, since no daemon has sent its version.", {
                behindMs: Math.round(behindMs),
                reads: this.#storeReads,
            });
            this.#options.readStore(() => this.#answeredReads++);
        }
    }
}
