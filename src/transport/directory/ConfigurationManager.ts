/**
 * Keeps the newest configuration version: from a watch of the store if this daemon is one of the
 * watchers, and from other daemons. The version in force never decreases, whatever the store's revisions do.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { inflateRawSync } from "node:zlib";
import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import type { Confirmation, VersionLag, WatchReport } from "../../coordination/distribution/index.js";
import { StoreWatchers, VersionFreshness } from "../../coordination/distribution/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type {
    ConfigurationReadResult,
    ConfigurationText,
    MeshStorePort,
    StoreError,
    StorePosition,
} from "../../state/store/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { PeerStatus } from "../sessions/index.js";
import { CopySender } from "./CopySender.js";
import type { CompressedConfiguration } from "./CopySender.js";
import {
    REGISTRATION_TIMEOUT_MS,
    STORE_RETRY_BASE_MS,
    STORE_RETRY_MAXIMUM_MS,
    WATCH_WAIT_MS,
    WATCHER_CHECK_INTERVAL_MS,
} from "./DirectoryConstants.js";
import { VersionFetcher } from "./VersionFetcher.js";
import type { ReachablePeer } from "./VersionFetcher.js";
import { WatchGuard } from "./WatchGuard.js";

/** Decodes the text of a configuration; Left holds the faults, each with its place. */
export type DecodeConfiguration = (source: ConfigurationText) => Either<readonly string[], TrafficConfiguration>;

export interface ConfigurationManagerOptions {
    readonly selfId: string;
    /** Follows the versions in force here and at other daemons. */
    readonly lag: VersionLag;
    readonly store: MeshStorePort;
    readonly decode: DecodeConfiguration;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    listReachable(): readonly ReachablePeer[];
    /** Number of daemons in all regions. */
    countDaemons(): number;
    /** Whether the records of the other daemons were read, so that the watchers among them are known. */
    isRegistered(): boolean;
    isSameRegion(id: string): boolean;
    /** Called with the era of the store after each reading. */
    onStoreRead(era: number): void;
    /** Called when a watch of this region has failed, which the other daemons should know at once. */
    onWatchFailed(): void;
    /** Asks another daemon for its version. */
    requestConfiguration(id: string): void;
    sendConfiguration(id: string, configuration: CompressedConfiguration): void;
    onChange(configuration: TrafficConfiguration): void;
}

/** Limit of the text of a version, above the platform's limit for an object. */
const MAXIMUM_TEXT_BYTES = 16 * 1_048_576;

export class ConfigurationManager {
    readonly #options: ConfigurationManagerOptions;
    readonly #watchers: StoreWatchers;
    readonly #freshness: VersionFreshness;
    readonly #copies: CopySender;
    readonly #fetcher: VersionFetcher;
    readonly #guard: WatchGuard;
    readonly #startedAt: number;
    #text: ConfigurationText | undefined;
    #configuration: TrafficConfiguration | undefined;
    #position: StorePosition | undefined;
    /** Position of the last version from the store that was not put in force, which is logged once. */
    #droppedPosition: StorePosition | undefined;
    #isWatching = false;
    #isStopping = false;
    #checkTimer: NodeJS.Timeout | undefined;
    #isStoreUnreachable = false;

    constructor(options: ConfigurationManagerOptions) {
        this.#options = options;
        this.#watchers = new StoreWatchers(options.selfId);
        this.#startedAt = options.now();
        this.#freshness = new VersionFreshness(this.#startedAt);
        this.#copies = new CopySender(options);
        this.#guard = new WatchGuard({
            now: options.now,
            probe: timeoutMs => options.store.probe(timeoutMs),
            sleep: ms => sleep(ms),
        });
        this.#fetcher = new VersionFetcher({
            ...options,
            isWatching: () => this.#isWatching,
            readStore: () => void this.#readStore(),
        });
    }

    get configuration(): TrafficConfiguration | undefined {
        return this.#configuration;
    }

    /** Text of the version in force, for other daemons. */
    get text(): ConfigurationText | undefined {
        return this.#text;
    }

    /** Working watches of the store in this daemon's region. */
    listWatches(): readonly WatchReport[] {
        return this.#watchers.listReports(this.#options.now());
    }

    /** When the version in force was last known to be the newest one, to be passed on; undefined without a version. */
    readConfirmation(): Confirmation | undefined {
        return this.#configuration === undefined ? undefined : this.#freshness.readConfirmation(this.#options.now());
    }

    /** Time since the version in force was last known to be the newest one. */
    readConfirmedAgeMs(): number {
        return this.#freshness.readAgeMs(this.#options.now());
    }

    /** Copies of versions that were sent to other daemons, and requests for them. */
    get copies(): CopySender {
        return this.#copies;
    }

    /** Sends the version in force to a daemon that has asked for it. */
    answerRequest(id: string): void {
        this.#copies.answerRequest(id, this.#options.now());
    }

    /** Puts in force what another daemon has sent, if it is newer. */
    applyCompressed({ compressedText, revision, version }: CompressedConfiguration, source: string): void {
        if (!this.#isNewer(version)) {
            return;
        }
        try {
            const text = inflateRawSync(compressedText, { maxOutputLength: MAXIMUM_TEXT_BYTES }).toString("utf8");
            this.applyVersion({ revision, text, version }, source);
        }
        catch (error) {
            this.#options.log.error(`version from ${source} can't be read: ${(error as Error).message}.`, {
                revision,
                source,
                version,
            });
        }
    }

    /** Sets the daemons of this region. */
    setRegion(ids: readonly string[]): void {
        this.#watchers.setRegion(ids);
    }

    get isWatching(): boolean {
        return this.#isWatching;
    }

    start(): void {
        void this.#watchStore();
        this.#checkTimer = setInterval(
            () => this.#fetcher.fetchIfBehind(this.#options.now()),
            WATCHER_CHECK_INTERVAL_MS,
        );
    }

    stop(): void {
        this.#isStopping = true;
        clearInterval(this.#checkTimer);
    }

    /** Records the status of another daemon; one that has a newer version may be asked for it. */
    recordStatus(status: PeerStatus): void {
        const now = this.#options.now();
        if (this.#options.isSameRegion(status.id)) {
            if (this.#watchers.recordReports(status.watches, now)) {
                this.#options.onWatchFailed();
            }
        }
        const { confirmation, id, version } = status;
        if (version !== undefined) {
            this.recordVersion(id, version);
            if (confirmation !== undefined && !this.#isNewer(version)) {
                this.#freshness.recordConfirmation(confirmation.position, now - Math.max(0, confirmation.ageMs));
            }
        }
    }

    /** Records that the process of another daemon has ended, so that another one watches the store in its place at once. */
    recordEnd(id: string): void {
        if (this.#watchers.recordEnd(id, this.#options.now())) {
            this.#options.log.info(`the watch of ${id} has ended with its process.`, { peer: id });
            this.#options.onWatchFailed();
        }
    }

    /** Records the version in force at another daemon, which may be asked for it if it is newer. */
    recordVersion(id: string, version: number): void {
        const now = this.#options.now();
        if (this.#options.lag.recordPeer(id, version, now)) {
            this.#fetcher.fetchIfBehind(now);
        }
    }

    #isNewer(version: number): boolean {
        return this.#options.lag.isNewer(version);
    }

    /** Puts a version in force if it is newer than the present one and can be decoded. */
    applyVersion(text: ConfigurationText, source: string): void {
        const before = this.#configuration?.version;
        if (text.version !== undefined && !this.#isNewer(text.version)) {
            return;
        }
        this.#options.decode(text).caseOf({
            Left: findings => {
                this.#options.log.error("damaged version was not put in force.", {
                    findings,
                    revision: text.revision,
                    source,
                });
            },
            Right: configuration => {
                if (!this.#isNewer(configuration.version)) {
                    return;
                }
                this.#text = text;
                this.#configuration = configuration;
                const { lag, now } = this.#options;
                const behindMs = lag.readBehindMs(now());
                lag.recordOwn(configuration.version);
                this.#copies.setVersion(configuration.version, text);
                this.#options.log.info(`version ${configuration.version} is in force.`, {
                    before,
                    // Since another daemon was known to have a newer version.
                    behindMs: behindMs === undefined ? undefined : Math.round(behindMs),
                    characters: text.text.length,
                    revision: text.revision,
                    source,
                });
                this.#options.onChange(configuration);
            },
        });
    }

    async #watchStore(): Promise<void> {
        const { random } = this.#options;
        let delays = generateBackoffDelays(STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS, random);
        let hasLostHistory = false;
        while (!this.#isStopping) {
            if (!this.#shouldWatch()) {
                this.#stopWatching();
                await sleep(WATCHER_CHECK_INTERVAL_MS);
                continue;
            }
            const position = this.#position;
            const startedAt = this.#options.now();
            const reading = await this.#callStore(position);
            const pauseMs = reading.caseOf({
                Left: error => {
                    this.#handleStoreError(error);
                    const isHistoryLost = error.kind === "refused" && error.reason === "history";
                    // A store that refuses each watch is not read without a pause.
                    const isFirst = !hasLostHistory;
                    hasLostHistory ||= isHistoryLost;
                    return isHistoryLost && isFirst ? 0 : delays.next().value;
                },
                Right: value => {
                    if (position !== undefined) {
                        hasLostHistory = false;
                    }
                    if (!hasLostHistory) {
                        delays = generateBackoffDelays(STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS, random);
                    }
                    if (!this.#tryReading(value)) {
                        return delays.next().value;
                    }
                    // A watch that found nothing was answered after its whole wait; its answer may have come late.
                    const waitedMs = position !== undefined && value.configuration === undefined ? WATCH_WAIT_MS : 0;
                    const at = Math.min(this.#options.now(), startedAt + waitedMs);
                    this.#freshness.recordConfirmation(value.position, at);
                    return 0;
                },
            });
            if (pauseMs > 0) {
                await sleep(pauseMs);
            }
        }
    }

    /** Reads or watches the configuration. An error that the store's client throws must not end the loop. */
    async #callStore(position: StorePosition | undefined): Promise<Either<StoreError, ConfigurationReadResult>> {
        const { log, now, store } = this.#options;
        try {
            if (position !== undefined) {
                return await this.#guard.awaitWatch(store.watchConfiguration(position, WATCH_WAIT_MS));
            }
            const startedAt = now();
            const reading = await store.readConfiguration();
            this.#guard.recordRoundTrip(now() - startedAt);
            return reading;
        }
        catch (error) {
            log.error("the store could not be read for an internal error.", { err: error });
            return Left({ detail: (error as Error).message, kind: "unknown" });
        }
    }

    /** Reads the newest version from the store, without following it. */
    async #readStore(): Promise<void> {
        (await this.#callStore(undefined)).caseOf({
            Left: error => {
                this.#options.log.warn(`the store could not be read: ${error.detail}.`, { error });
            },
            Right: ({ configuration }) => {
                if (configuration !== undefined) {
                    this.#tryApplying(() => this.applyVersion(configuration, "store"), configuration.revision);
                }
            },
        });
    }

    /** Applies a reading; false after an internal error, which must not end the loop either. */
    #tryReading(reading: ConfigurationReadResult): boolean {
        return this.#tryApplying(() => this.#handleReading(reading), reading.configuration?.revision);
    }

    #tryApplying(apply: () => void, revision: number | undefined): boolean {
        try {
            apply();
            return true;
        }
        catch (error) {
            this.#options.log.error("a version could not be put in force for an internal error.", {
                err: error,
                revision,
            });
            return false;
        }
    }

    #handleReading({ configuration, position }: ConfigurationReadResult): void {
        this.#position = position;
        this.#options.onStoreRead(position.era);
        if (!this.#isWatching) {
            this.#options.log.info("watches the store.", { ...position });
        }
        this.#isWatching = true;
        this.#watchers.recordOwnWatch(this.#options.now());
        if (this.#isStoreUnreachable) {
            this.#isStoreUnreachable = false;
            this.#options.log.info("the store answers again.");
        }
        if (configuration !== undefined) {
            this.#reportDropped(configuration, position);
            this.applyVersion(configuration, "store");
        }
    }

    /** Logs that the store holds another version than the one in force and no newer one, once for each position. */
    #reportDropped({ revision, text, version }: ConfigurationText, position: StorePosition): void {
        const inForce = this.#configuration?.version;
        const dropped = this.#droppedPosition;
        const isReported = dropped?.era === position.era && dropped.revision === revision;
        if (
            isReported || version === undefined || inForce === undefined || this.#isNewer(version)
            || version === inForce && text === this.#text?.text
        ) {
            return;
        }
        this.#droppedPosition = { era: position.era, revision };
        this.#options.log.warn(
            version < inForce
                ? `the store holds version ${version}; version ${inForce}, which is newer, stays in force.`
                : `the store holds another text of version ${version}, which is not put in force.`,
            { era: position.era, inForce, revision, version },
        );
    }

    #handleStoreError(error: StoreError): void {
        this.#isWatching = false;
        this.#position = undefined;
        if (this.#watchers.recordOwnFailure(this.#options.now())) {
            this.#options.onWatchFailed();
        }
        if (!this.#isStoreUnreachable) {
            this.#isStoreUnreachable = true;
            this.#options.log.warn(`the store can't be watched: ${error.detail}.`, { error });
        }
    }

    #stopWatching(): void {
        if (this.#isWatching) {
            this.#options.log.info("leaves the store to other watchers of the region.");
        }
        this.#isWatching = false;
        this.#position = undefined;
        this.#watchers.removeOwnWatch();
    }

    #shouldWatch(): boolean {
        const now = this.#options.now();
        const isRegionKnown = this.#options.isRegistered() || now - this.#startedAt > REGISTRATION_TIMEOUT_MS;
        return isRegionKnown && this.#watchers.shouldWatch(now);
    }
}
