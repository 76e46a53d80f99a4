/**
 * Tells whether a version may decide on a request: one that was known to be the newest at a time can be late only for requests
 * that are sent more than the deadline after it. An old lease is renewed by the confirmations of other daemons, or by a
 * reading of the store, which all requests share.
 */
import { generateRenewalSteps, RenewalStepKind } from "../../coordination/distribution/index.js";
import type {
    ConfirmedVersion,
    FreshnessLimits,
    RenewalStep,
    VersionFreshness,
    VersionLag,
} from "../../coordination/distribution/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import type { PartLogger } from "../logging/index.js";
import { scheduleTimeout, withTimeout } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import {
    LEASE_RETRY_BASE_MS,
    LEASE_RETRY_MAXIMUM_MS,
    MINIMUM_ANSWER_TIMEOUT_MS,
    STORE_READ_SPREAD_PER_DAEMON_MS,
} from "./DirectoryConstants.js";
import type { ReachablePeer } from "./VersionFetcher.js";

export const LeaseState = {
    /** The version may decide. */
    Valid: "valid",
    /** A renewal has to come first. */
    Expired: "expired",
    /** Neither other daemons nor the store can confirm a version, so that no request waits for the next renewal. */
    Unconfirmable: "unconfirmable",
} as const;
export type LeaseState = (typeof LeaseState)[keyof typeof LeaseState];

export const RenewalOutcome = {
    /** The own version is confirmed, or a newer one of a daemon that can be asked. */
    Renewed: "renewed",
    /** This VM is cut off, or the store is away: nobody can confirm a version. */
    Unanswered: "unanswered",
    /** Messages or parts of the store's answer arrive, but late: a version may have been replaced meanwhile. */
    Delayed: "delayed",
    /** The caller can't use an answer any more. */
    OutOfTime: "outOfTime",
} as const;
export type RenewalOutcome = (typeof RenewalOutcome)[keyof typeof RenewalOutcome];

type RenewalResult = Exclude<RenewalOutcome, typeof RenewalOutcome.OutOfTime>;

/** Bytes received since the start. */
export interface ReceivedBytes {
    readonly daemons: number;
    readonly store: number;
}

export interface VersionLeaseOptions {
    readonly freshness: VersionFreshness;
    readonly limits: FreshnessLimits;
    readonly lag: VersionLag;
    readonly log: PartLogger;
    readonly now: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    listReachable(): readonly ReachablePeer[];
    /** Number of daemons in all regions, which share the store's rate. */
    countDaemons(): number;
    /** Asks another daemon for its status, with the confirmation of its version; false when it can't be asked. */
    requestStatus(id: string): boolean;
    readReceivedBytes(): ReceivedBytes;
    /** Reads the newest version from the store; resolves with whether it has answered, also by a refusal. */
    readStore(): Promise<boolean>;
}

/**
 * Longest round trip of a ping that shows that the own link would have brought the store's answer too, which has twice that
 * time.
 */
const PROMPT_ROUND_TRIP_MS = MINIMUM_ANSWER_TIMEOUT_MS / 2;
/** Other daemons that are asked at a time. */
const ASKED_DAEMONS = 2;

export class VersionLease {
    readonly #options: VersionLeaseOptions;
    #renewal: Promise<RenewalResult> | undefined;
    /** The present reading of the store, which later renewals wait for too. */
    #reading: Promise<boolean> | undefined;
    #readingBegunAt = -Infinity;
    /** Bytes received when the reading began. */
    #receivedBeforeReading: ReceivedBytes = { daemons: 0, store: 0 };
    /** Whether it has ended promptly; if it has told nothing, the store refuses connections or calls. */
    #hasReadingEndedPromptly = false;
    /** Pings since then that were answered promptly. */
    #promptAnswers = 0;
    /** Questions to other daemons in the present renewal, or the last one. */
    #askedDaemons = 0;
    /** Ends the wait for the answers of other daemons. */
    #endWait: () => void = () => undefined;
    #retryDelays: Iterator<number, never>;
    /** Time of the next renewal after one that nobody has answered; undefined while the last one was. */
    #retryAt: number | undefined;

    constructor(options: VersionLeaseOptions) {
        this.#options = options;
        this.#retryDelays = this.#createRetryDelays();
    }

    /** Time since no version newer than `version` was known to be in the store; Infinity while that isn't known. */
    readAgeMs(version: number, now: number): number {
        return this.#options.freshness.readVersionAgeMs(version, now);
    }

    /** Newest version that was confirmed within the time of a lease; undefined when there is none. */
    readNewest(now: number): ConfirmedVersion | undefined {
        const { freshness, limits } = this.#options;
        const { newest } = freshness;
        return newest !== undefined && now - newest.at <= limits.leaseMs ? newest : undefined;
    }

    /** Whether a version may decide now; begins a renewal some time before it may not. */
    check(version: number, now: number): LeaseState {
        const { leaseMs, renewLeaseAfterMs } = this.#options.limits;
        const ageMs = this.readAgeMs(version, now);
        if (ageMs <= renewLeaseAfterMs) {
            return LeaseState.Valid;
        }
        if (this.#retryAt === undefined || now >= this.#retryAt) {
            void this.#renew();
        }
        if (ageMs <= leaseMs) {
            return LeaseState.Valid;
        }
        return this.#retryAt === undefined ? LeaseState.Expired : LeaseState.Unconfirmable;
    }

    /** Waits for a renewal, at most for a time. */
    async awaitRenewal(limitMs: number): Promise<RenewalOutcome> {
        const { now, timers } = this.#options;
        return await new Promise(resolve => {
            const cancel = timers.after(limitMs, () => resolve(RenewalOutcome.OutOfTime));
            void this.#renewUntilDecided(now() + limitMs).then(outcome => {
                cancel();
                resolve(outcome);
            });
        });
    }

    /** Records the round trip of a ping, which tells a store that is away from a link that is full. */
    recordRoundTrip(ms: number, now: number): void {
        if (ms <= PROMPT_ROUND_TRIP_MS && now - ms >= this.#readingBegunAt) {
            this.#promptAnswers++;
        }
    }

    /** Notes that a confirmation has arrived, of the own version or of a newer one. */
    handleConfirmation(): void {
        if (this.#isRenewed(this.#options.now())) {
            this.#endWait();
            this.#handleRenewed();
        }
    }

    async #renewUntilDecided(until: number): Promise<RenewalOutcome> {
        let outcome: RenewalOutcome;
        do {
            outcome = await this.#renew();
        }
        while (outcome === RenewalOutcome.Delayed && this.#options.now() < until);
        return outcome === RenewalOutcome.Delayed ? RenewalOutcome.OutOfTime : outcome;
    }

    #renew(): Promise<RenewalResult> {
        this.#renewal ??= this.#runRenewal().finally(() => {
            this.#renewal = undefined;
        });
        return this.#renewal;
    }

    async #runRenewal(): Promise<RenewalResult> {
        const { countDaemons, now, random, readReceivedBytes } = this.#options;
        const startedAt = now();
        const receivedBefore = readReceivedBytes();
        this.#askedDaemons = 0;
        const storeTurnMs = random() * countDaemons() * STORE_READ_SPREAD_PER_DAEMON_MS;
        const steps = generateRenewalSteps(storeTurnMs);
        let step = steps.next();
        let isAnswered = false;
        while (!this.#isRenewed(now())) {
            if (step.done === true) {
                const received = readReceivedBytes();
                if (!isAnswered && this.#isDelayed(receivedBefore, received)) {
                    this.#handleDelayed(startedAt, now());
                    return RenewalOutcome.Delayed;
                }
                this.#handleUnanswered(startedAt, now(), received.daemons - receivedBefore.daemons);
                return RenewalOutcome.Unanswered;
            }
            isAnswered = await this.#execute(step.value);
            step = steps.next(isAnswered);
        }
        this.#handleRenewed();
        return RenewalOutcome.Renewed;
    }

    /**
     * Whether answers are late rather than missing. A VM that is cut off receives nothing, and where pings come back promptly
     * a store without an answer is away.
     */
    #isDelayed(before: ReceivedBytes, received: ReceivedBytes): boolean {
        return received.store > this.#receivedBeforeReading.store
            || !this.#hasReadingEndedPromptly && this.#promptAnswers === 0 && received.daemons > before.daemons;
    }

    /** Returns whether the step was answered. */
    async #execute(step: RenewalStep): Promise<boolean> {
        const { countDaemons, timers } = this.#options;
        if (step.kind === RenewalStepKind.ReadStore) {
            return await this.#readStore();
        }
        if (countDaemons() <= 1) {
            return false;
        }
        await new Promise<void>(resolve => {
            const cancel = scheduleTimeout(timers, step.waitMs, resolve);
            this.#endWait = () => {
                cancel();
                resolve();
            };
            this.#askDaemons();
        });
        this.#endWait = () => undefined;
        return this.#isRenewed(this.#options.now());
    }

    /**
     * Reads the store, and waits for its usual time only, since requests wait too; its answer renews the lease whenever it comes.
     * A reading whose answer has begun to arrive isn't begun anew, as the link would only carry it twice.
     */
    async #readStore(): Promise<boolean> {
        const { timers } = this.#options;
        if (this.#reading === undefined || !this.#isReadingArriving()) {
            this.#startReading();
        }
        this.#askDaemons();
        return await withTimeout(timers, MINIMUM_ANSWER_TIMEOUT_MS, this.#reading ?? Promise.resolve(false)) === true;
    }

    #isReadingArriving(): boolean {
        return this.#options.readReceivedBytes().store > this.#receivedBeforeReading.store;
    }

    #startReading(): void {
        const { now, readReceivedBytes, readStore } = this.#options;
        this.#hasReadingEndedPromptly = false;
        this.#promptAnswers = 0;
        this.#readingBegunAt = now();
        this.#receivedBeforeReading = readReceivedBytes();
        const reading = readStore().finally(() => {
            if (this.#reading === reading) {
                this.#reading = undefined;
                this.#hasReadingEndedPromptly = now() - this.#readingBegunAt <= PROMPT_ROUND_TRIP_MS;
            }
        });
        this.#reading = reading;
    }

    #askDaemons(): void {
        const { listReachable, random, requestStatus } = this.#options;
        let asked = 0;
        for (const { id } of rankPeers(listReachable(), random)) {
            asked += requestStatus(id) ? 1 : 0;
            if (asked === ASKED_DAEMONS) {
                break;
            }
        }
        this.#askedDaemons += asked;
    }

    /** Whether the own version may decide, or a daemon with a newer one can be asked. */
    #isRenewed(now: number): boolean {
        const { lag, limits, listReachable } = this.#options;
        const own = lag.own ?? -Infinity;
        if (this.readAgeMs(own, now) <= limits.renewLeaseAfterMs) {
            return true;
        }
        const newest = this.readNewest(now);
        return newest !== undefined && newest.version > own
            && lag.listSources(listReachable(), now, newest.version).length > 0;
    }

    #handleRenewed(): void {
        if (this.#retryAt !== undefined) {
            this.#handleReachable();
            this.#options.log.info("the lease of the version is renewed again.", this.#describe());
        }
    }

    /** Lets requests wait for renewals again. */
    #handleReachable(): void {
        this.#retryAt = undefined;
        this.#retryDelays = this.#createRetryDelays();
    }

    #handleUnanswered(startedAt: number, now: number, receivedBytes: number): void {
        if (this.#retryAt === undefined) {
            this.#options.log.warn(
                "the lease of the version can't be renewed: requests are decided by it without a confirmation.",
                {
                    ...this.#describe(),
                    askedDaemons: this.#askedDaemons,
                    receivedBytes,
                    tookMs: Math.round(now - startedAt),
                },
            );
        }
        this.#retryAt = now + this.#retryDelays.next().value;
    }

    #handleDelayed(startedAt: number, now: number): void {
        this.#handleReachable();
        this.#options.log.info("the answers to a renewal of the lease are late, and requests wait for it.", {
            ...this.#describe(),
            askedDaemons: this.#askedDaemons,
            tookMs: Math.round(now - startedAt),
        });
    }

    #createRetryDelays(): Iterator<number, never> {
        return generateBackoffDelays(LEASE_RETRY_BASE_MS, () => LEASE_RETRY_MAXIMUM_MS, this.#options.random);
    }

    #describe(): Readonly<Record<string, unknown>> {
        const { lag, now } = this.#options;
        const ageMs = this.readAgeMs(lag.own ?? -Infinity, now());
        return { confirmedAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined, version: lag.own };
    }
}

/** Ranks one of the nearest daemons first and then all others, which may not share its troubles, at random. */
function rankPeers(peers: readonly ReachablePeer[], random: () => number): readonly ReachablePeer[] {
    const nearest = Math.min(...peers.map(({ distance }) => distance));
    const shuffled = peers
        .map(peer => ({ order: random(), peer }))
        .sort((left, right) => left.order - right.order)
        .map(({ peer }) => peer);
    const first = shuffled.find(({ distance }) => distance === nearest);
    return first === undefined ? [] : [first, ...shuffled.filter(peer => peer !== first)];
}
