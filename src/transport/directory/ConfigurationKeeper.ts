/**
 * Keeps the newest configuration version: by a watch of the store where this daemon is one of the
 * watchers, and from other daemons. The version in force never goes back.
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Either } from "purify-ts/Either";
import { shouldWatchStore } from "../../coordination/distribution/index.js";
import { Distance } from "../../coordination/placement/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type { ConfigurationReadResult, ConfigurationText, MeshStorePort, StoreError } from "../../state/store/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { PeerCondition } from "../sessions/index.js";
import {
    CONDITION_VALID_MS,
    FETCH_DELAY_MS,
    FETCH_RETRY_MS,
    OWN_WATCH_LEAD_MS,
    STORE_RETRY_BASE_MS,
    STORE_RETRY_MAXIMUM_MS,
    WATCH_WAIT_MS,
    WATCHER_CHECK_MS,
} from "./DirectoryConstants.js";

/** Faults of a text that is no configuration, each with its place. */
export type DecodeConfiguration = (source: ConfigurationText) => Either<readonly string[], TrafficConfiguration>;

/** Another daemon that can be reached, as the keeper needs it. */
export interface ReachablePeer {
    readonly id: string;
    readonly distance: Distance;
}

export interface ConfigurationKeeperOptions {
    readonly selfId: string;
    readonly store: MeshStorePort;
    readonly decode: DecodeConfiguration;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    listReachable(): readonly ReachablePeer[];
    /** Asks another daemon for its version. */
    requestFrom(id: string): void;
    onChange(configuration: TrafficConfiguration): void;
}

interface HeardCondition extends PeerCondition {
    readonly heardAt: number;
}

export class ConfigurationKeeper {
    readonly #options: ConfigurationKeeperOptions;
    readonly #conditions = new Map<string, HeardCondition>();
    #text: ConfigurationText | undefined;
    #configuration: TrafficConfiguration | undefined;
    #position: number | undefined;
    #isWatching = false;
    #isStopping = false;
    #wantedSince: number | undefined;
    #requestedAt = -Infinity;
    #checkTimer: NodeJS.Timeout | undefined;
    #isStoreLost = false;

    constructor(options: ConfigurationKeeperOptions) {
        this.#options = options;
    }

    get configuration(): TrafficConfiguration | undefined {
        return this.#configuration;
    }

    /** Text of the version in force, for other daemons. */
    get text(): ConfigurationText | undefined {
        return this.#text;
    }

    get isWatching(): boolean {
        return this.#isWatching;
    }

    start(): void {
        void this.#watch();
        this.#checkTimer = setInterval(() => this.#fetchIfBehind(), WATCHER_CHECK_MS);
    }

    stop(): void {
        this.#isStopping = true;
        clearInterval(this.#checkTimer);
    }

    /** Notes what another daemon told; one that has a newer version may be asked for it. */
    noteCondition(condition: PeerCondition): void {
        this.#conditions.set(condition.id, { ...condition, heardAt: this.#options.now() });
        if (condition.revision > (this.#text?.revision ?? 0)) {
            this.#wantedSince ??= this.#options.now();
        }
    }

    /** Puts a version in force if it is newer than the present one; anything else changes nothing. */
    adopt(text: ConfigurationText, source: string): void {
        const before = this.#text?.revision;
        if (before !== undefined && text.revision <= before) {
            return;
        }
        this.#options.decode(text).caseOf({
            Left: findings => {
                this.#options.log.error("version is damaged and not put in force.", {
                    findings,
                    revision: text.revision,
                    source,
                });
            },
            Right: configuration => {
                this.#text = text;
                this.#configuration = configuration;
                this.#wantedSince = undefined;
                this.#options.log.info(`version ${configuration.version} is in force.`, {
                    before,
                    revision: text.revision,
                    source,
                });
                this.#options.onChange(configuration);
            },
        });
    }

    async #watch(): Promise<void> {
        const { random, store } = this.#options;
        let delays = generateBackoffDelays(STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS, random);
        while (!this.#isStopping) {
            if (this.#configuration !== undefined && !this.#shouldWatch()) {
                this.#isWatching = false;
                this.#position = undefined;
                await sleep(WATCHER_CHECK_MS);
                continue;
            }
            const position = this.#position;
            const reading = position === undefined
                ? await store.readConfiguration()
                : await store.watchConfiguration(position, WATCH_WAIT_MS);
            const pauseMs = reading.caseOf({
                Left: error => {
                    this.#noteStoreError(error);
                    return error.kind === "refused" && error.reason === "history" ? 0 : delays.next().value;
                },
                Right: value => {
                    delays = generateBackoffDelays(STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS, random);
                    this.#noteReading(value);
                    return 0;
                },
            });
            if (pauseMs > 0) {
                await sleep(pauseMs);
            }
        }
    }

    #noteReading({ configuration, position }: ConfigurationReadResult): void {
        this.#position = position;
        this.#isWatching = true;
        if (this.#isStoreLost) {
            this.#isStoreLost = false;
            this.#options.log.info("the store answers again.");
        }
        if (configuration !== undefined) {
            this.adopt(configuration, "store");
        }
    }

    #noteStoreError(error: StoreError): void {
        this.#isWatching = false;
        this.#position = undefined;
        if (!this.#isStoreLost) {
            this.#isStoreLost = true;
            this.#options.log.warn(`the store can't be watched: ${error.detail}.`, { error });
        }
    }

    #shouldWatch(): boolean {
        const now = this.#options.now();
        const isOtherWatching = [...this.#conditions.values()].some(
            condition => condition.isWatching && now - condition.heardAt <= CONDITION_VALID_MS,
        );
        const reachable = this.#options.listReachable().filter(({ distance }) => distance !== Distance.OtherRegion);
        return shouldWatchStore({ isOtherWatching, reachable, selfId: this.#options.selfId });
    }

    /** Asks the nearest daemon that has a newer version, after the time in which it would come by itself. */
    #fetchIfBehind(): void {
        const now = this.#options.now();
        if (this.#wantedSince === undefined || now - this.#requestedAt < FETCH_RETRY_MS) {
            return;
        }
        const waitedMs = now - this.#wantedSince - (this.#isWatching ? OWN_WATCH_LEAD_MS : 0);
        const revision = this.#text?.revision ?? 0;
        const peer = this.#options.listReachable()
            .filter(({ distance, id }) =>
                (this.#conditions.get(id)?.revision ?? 0) > revision && waitedMs >= FETCH_DELAY_MS[distance]
            )
            .sort((left, right) => left.distance - right.distance)[0];
        if (peer !== undefined) {
            this.#requestedAt = now;
            this.#options.requestFrom(peer.id);
        }
    }
}
