/**
 * Keeps the newest configuration version: from a watch of the store if this daemon is one of the
 * watchers, and from other daemons. The version in force never decreases, whatever the store's revisions do.
 */
import { Left } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type {
    Confirmation,
    FreshnessLimits,
    RegionMember,
    VersionLag,
    WatchReport,
} from "../../coordination/distribution/index.js";
import { StoreWatchers, VersionFreshness } from "../../coordination/distribution/index.js";
import type { ConfigurationText, MeshStorePort, StorePosition } from "../../state/store/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { PeerStatus } from "../sessions/index.js";
import { scheduleRepeating } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { CopySender } from "./CopySender.js";
import type { CompressedConfiguration } from "./CopySender.js";
import {
    CONFIRMATION_JITTER,
    LATER_WATCHER_FACTOR,
    REGISTRATION_TIMEOUT_MS,
    WATCHER_CHECK_INTERVAL_MS,
} from "./DirectoryConstants.js";
import { StoreFollower } from "./StoreFollower.js";
import type { ConfigurationDifference } from "./VersionDifferences.js";
import { VersionFetcher } from "./VersionFetcher.js";
import type { ReachablePeer } from "./VersionFetcher.js";
import { VersionFindings } from "./VersionFindings.js";
import { VersionLease } from "./VersionLease.js";
import { readCopy, readDifference } from "./VersionTexts.js";
import type { TimedReading } from "./WatchGuard.js";

/** Decodes the text of a configuration; Left holds the faults, each with its place. */
export type DecodeConfiguration = (source: ConfigurationText) => Either<readonly string[], TrafficConfiguration>;

export interface ConfigurationManagerOptions {
    readonly selfId: string;
    readonly limits: FreshnessLimits;
    /** Rate of the VM's link. */
    readonly linkBytesPerMs: number;
    /** Follows the versions in force here and at other daemons. */
    readonly lag: VersionLag;
    readonly store: MeshStorePort;
    readonly decode: DecodeConfiguration;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    listReachable(): readonly ReachablePeer[];
    /** Number of daemons in all regions. */
    countDaemons(): number;
    /** Whether the records of the other daemons were read, so that the watchers among them are known. */
    isRegistered(): boolean;
    isSameRegion(id: string): boolean;
    /** Called with the era of the store after each reading. */
    onStoreRead(era: number): void;
    /** Called when a watch of this region has failed or was taken over, which the other daemons should know at once. */
    onWatchChanged(): void;
    /** Called when this daemon has confirmed its version, with the other daemons that watch the store. */
    onConfirmed(watcherIds: readonly string[]): void;
    /** Asks another daemon for its version, as a difference from the own one if `baseChecksum` names that. */
    requestConfiguration(id: string, baseChecksum: string | undefined): void;
    /** Asks another daemon for its status, which tells when its version was confirmed; false when it can't be asked. */
    requestStatus(id: string): boolean;
    sendConfiguration(id: string, configuration: CompressedConfiguration): void;
    sendDifference(id: string, difference: ConfigurationDifference): void;
    /** Bytes received from other daemons since the start. */
    readReceivedBytes(): number;
    onChange(configuration: TrafficConfiguration): void;
}

export class ConfigurationManager {
    readonly #options: ConfigurationManagerOptions;
    readonly #watchers: StoreWatchers;
    readonly #freshness: VersionFreshness;
    readonly #copies: CopySender;
    readonly #fetcher: VersionFetcher;
    readonly #follower: StoreFollower;
    readonly #lease: VersionLease;
    /** Faulty entries of the versions in force. */
    readonly findings: VersionFindings;
    readonly #limits: FreshnessLimits;
    readonly #startedAt: number;
    #text: ConfigurationText | undefined;
    #configuration: TrafficConfiguration | undefined;
    #isConfirmationMissing = false;
    /** Share by which the next confirmation of this daemon is delayed. */
    #confirmationJitter = 0;
    /** Position of the last version from the store that was not put in force, which is logged once. */
    #droppedPosition: StorePosition | undefined;
    /** The last reading for lack of copies, until it ends. */
    #reading: Promise<boolean> | undefined;
    #receivedBeforeReading = 0;
    #stopChecks: () => void = () => undefined;

    constructor(options: ConfigurationManagerOptions) {
        this.#options = options;
        this.findings = new VersionFindings(options.log);
        this.#limits = options.limits;
        this.#watchers = new StoreWatchers(options.selfId, this.#limits.takeoverSpreadMs);
        this.#startedAt = options.now();
        this.#freshness = new VersionFreshness(this.#startedAt);
        this.#copies = new CopySender(options);
        this.#follower = new StoreFollower({
            ...options,
            applyReading: reading => this.#applyWatchedReading(reading),
            computeCheckDelayMs: roundTripMs => this.#computeCheckDelayMs(roundTripMs),
            freshness: this.#freshness,
            onConfirmed: reading => {
                this.#watchers.recordOwnWatch(reading.at);
                this.#confirm(reading);
            },
            onFailed: () => this.#handleStoreFailure(),
            onLeft: () => this.#watchers.removeOwnWatch(),
            shouldWatch: () => this.#shouldWatch(),
        });
        this.#fetcher = new VersionFetcher({
            ...options,
            isVersionOverdue: now => this.#isVersionOverdue(now),
            isWatching: () => this.isWatching,
            requestConfiguration: id => options.requestConfiguration(id, this.#copies.checksum),
            readStore: onAnswered => {
                void this.#awaitReading().then(isAnswered => isAnswered && onAnswered());
            },
        });
        this.#lease = new VersionLease({
            ...options,
            freshness: this.#freshness,
            readReceivedBytes: () => ({
                daemons: options.readReceivedBytes(),
                store: options.store.readReceivedBytes(),
            }),
            readStore: () => this.#readStore(),
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

    /** Tells which versions may decide on requests. */
    get lease(): VersionLease {
        return this.#lease;
    }

    /** Copies of versions that were sent to other daemons, and requests for them. */
    get copies(): CopySender {
        return this.#copies;
    }

    /** Sends the version in force to a daemon that has asked for it. */
    answerRequest(id: string, baseChecksum: string | undefined): void {
        this.#copies.answerRequest(id, baseChecksum, this.#options.now());
    }

    /** Puts in force what another daemon has sent, if it is newer. */
    applyCompressed({ compressedText, revision, version }: CompressedConfiguration, source: string): void {
        if (!this.#isNewer(version)) {
            return;
        }
        readCopy(compressedText).caseOf({
            Left: detail =>
                this.#options.log.error(`version from ${source} can't be read: ${detail}.`, {
                    revision,
                    source,
                    version,
                }),
            Right: text => this.applyVersion({ revision, text, version }, source),
        });
    }

    /** Puts in force what another daemon has sent as a difference from the own version; asks for a copy if it doesn't fit. */
    applyDifference(
        { baseChecksum, checksum, compressedParts, revision, version }: ConfigurationDifference,
        source: string,
    ): void {
        if (!this.#isNewer(version)) {
            return;
        }
        const text = this.#text === undefined || this.#copies.checksum !== baseChecksum
            ? Left("it starts from another version")
            : readDifference(this.#text.text, compressedParts, checksum);
        text.caseOf({
            Left: detail => {
                this.#options.log.warn(`the difference to version ${version} is dropped: ${detail}.`, {
                    own: this.#configuration?.version,
                    source,
                    version,
                });
                this.#options.requestConfiguration(source, undefined);
            },
            Right: found => this.applyVersion({ revision, text: found, version }, source),
        });
    }

    /** Sets the daemons of this region. */
    setRegion(members: readonly RegionMember[]): void {
        this.#watchers.setRegion(members);
    }

    get isWatching(): boolean {
        return this.#follower.isWatching;
    }

    start(): void {
        this.#follower.start();
        const { now, timers } = this.#options;
        this.#stopChecks = scheduleRepeating(timers, () => WATCHER_CHECK_INTERVAL_MS, WATCHER_CHECK_INTERVAL_MS, () => {
            this.#checkFreshness(now());
            this.#fetcher.fetchIfBehind(now());
        });
    }

    stop(): void {
        this.#follower.stop();
        this.#stopChecks();
    }

    /** Records the status of another daemon; one that has a newer version may be asked for it. */
    recordStatus(status: PeerStatus): void {
        const now = this.#options.now();
        const { confirmation, id, version, watches } = status;
        if (!this.#options.isSameRegion(id)) {
            this.#watchers.recordRemoteReports(watches, now);
        }
        else if (this.#watchers.recordReports(watches, now)) {
            this.#options.onWatchChanged();
        }
        if (version !== undefined) {
            this.recordVersion(id, version);
            if (confirmation !== undefined) {
                this.#recordConfirmation(version, confirmation.position, now - Math.max(0, confirmation.ageMs));
            }
        }
    }

    /** Records that the process of another daemon has ended, so that another one watches the store in its place at once. */
    recordEnd(id: string): void {
        if (this.#watchers.recordEnd(id, this.#options.now())) {
            this.#options.log.info(`the watch of ${id} has ended with its process.`, { peer: id });
            this.#options.onWatchChanged();
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
                this.#freshness.recordOwn(configuration.version);
                this.#copies.setVersion(configuration.version, text);
                this.#options.log.info(`version ${configuration.version} is in force.`, {
                    before,
                    // Since another daemon was known to have a newer version.
                    behindMs: behindMs === undefined ? undefined : Math.round(behindMs),
                    characters: text.text.length,
                    revision: text.revision,
                    source,
                });
                this.findings.record(configuration);
                this.#options.onChange(configuration);
            },
        });
    }

    /** Reads the store, or waits for the last reading while its answer arrives, which a second one would only delay. */
    #awaitReading(): Promise<boolean> {
        const receivedBytes = this.#options.store.readReceivedBytes();
        if (this.#reading !== undefined && receivedBytes > this.#receivedBeforeReading) {
            return this.#reading;
        }
        this.#receivedBeforeReading = receivedBytes;
        const reading = this.#readStore().finally(() => {
            if (this.#reading === reading) {
                this.#reading = undefined;
            }
        });
        this.#reading = reading;
        return reading;
    }

    /** Reads the newest version from the store, without following it; returns whether the store has answered. */
    async #readStore(): Promise<boolean> {
        return (await this.#follower.readNewest()).caseOf({
            Left: error => {
                this.#options.log.warn(`the store could not be read: ${error.detail}.`, { error });
                return error.kind === "refused";
            },
            Right: reading => {
                this.#applyReading(reading);
                return true;
            },
        });
    }

    /** Applies a reading of the watch, which may have just begun. */
    #applyWatchedReading(reading: TimedReading): boolean {
        // A version that a long watch tells shows that it works now; an answer without one may have been read late.
        this.#watchers.recordOwnWatch(
            reading.configuration === undefined ? reading.workedUntil : this.#options.now(),
        );
        const isTakeover = this.#isConfirmationMissing;
        const isApplied = this.#applyReading(reading);
        if (isTakeover && isApplied) {
            this.#checkFreshness(this.#options.now());
            this.#options.onWatchChanged();
        }
        return isApplied;
    }

    /** Applies a reading; false after an internal error, which must not end the loop that follows the store. */
    #applyReading(reading: TimedReading): boolean {
        const { configuration, position } = reading;
        try {
            this.#options.onStoreRead(position.era);
            if (configuration !== undefined) {
                this.#reportDropped(configuration, position);
                this.applyVersion(configuration, "store");
            }
        }
        catch (error) {
            this.#options.log.error("a version could not be put in force for an internal error.", {
                err: error,
                revision: configuration?.revision,
            });
            return false;
        }
        this.#confirm(reading);
        return true;
    }

    /** Records a reading of this daemon, after which its version is the newest that the store had. */
    #confirm({ at, position }: TimedReading): void {
        if (this.#recordConfirmation(this.#configuration?.version ?? -Infinity, position, at)) {
            this.#options.onConfirmed(this.#watchers.listOtherWatchers(this.#options.now()));
        }
    }

    #recordConfirmation(version: number, position: StorePosition, at: number): boolean {
        const isNews = this.#freshness.recordConfirmation(version, position, at);
        if (isNews) {
            this.#confirmationJitter = this.#options.random() * CONFIRMATION_JITTER;
        }
        this.#lease.handleConfirmation();
        return isNews;
    }

    /** Time until this watcher asks the store once more: at once if no other daemon has confirmed the version for long. */
    #computeCheckDelayMs(roundTripMs: number): number {
        const now = this.#options.now();
        const factor = this.#watchers.hasEarlierWatcher(now) ? LATER_WATCHER_FACTOR : 1;
        const dueMs = this.#limits.confirmAfterMs * (factor + this.#confirmationJitter);
        return dueMs - roundTripMs - this.#freshness.readAgeMs(now);
    }

    /** Notices that no daemon has confirmed the version for long, so that this one asks the store in its turn. */
    #checkFreshness(now: number): void {
        if (this.#configuration === undefined && !this.#isRegionKnown(now)) {
            this.#freshness.startAt(now);
            return;
        }
        const ageMs = this.#freshness.readAgeMs(now);
        const isMissing = ageMs >= this.#limits.takeOverAfterMs;
        if (isMissing) {
            this.#watchers.recordLoss(now - this.#limits.takeOverAfterMs / 2);
        }
        if (isMissing !== this.#isConfirmationMissing) {
            this.#isConfirmationMissing = isMissing;
            const fields = {
                confirmedAgeMs: Math.round(ageMs),
                ...this.#freshness.position,
                version: this.#configuration?.version,
            };
            if (isMissing) {
                this.#options.log.warn("no daemon has confirmed for long that the version is the newest.", fields);
            }
            else {
                this.#options.log.info("the version is confirmed as the newest again.", fields);
            }
        }
    }

    /** Whether a version that other daemons have should have arrived by now. */
    #isVersionOverdue(now: number): boolean {
        const { countDaemons, lag } = this.#options;
        // Daemons that were paused find their confirmations old all at once; copies are on the way to most of them.
        const overdueMs = Math.min(
            this.#freshness.readAgeMs(now) - this.#limits.readLateAfterMs,
            (lag.readBehindMs(now) ?? 0) - this.#limits.copyTimeMs,
        );
        return overdueMs >= this.#watchers.computeLossDelay(countDaemons());
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

    #handleStoreFailure(): void {
        if (this.#watchers.recordOwnFailure(this.#options.now())) {
            this.#options.onWatchChanged();
        }
    }

    #isRegionKnown(now: number): boolean {
        return this.#options.isRegistered() || now - this.#startedAt > REGISTRATION_TIMEOUT_MS;
    }

    #shouldWatch(): boolean {
        const now = this.#options.now();
        // Which daemons watch is told by the records; that nobody confirms the version of this one isn't.
        return (this.#isConfirmationMissing || this.#isRegionKnown(now))
            && this.#watchers.shouldWatch(now, this.#isConfirmationMissing, this.#options.countDaemons());
    }
}
