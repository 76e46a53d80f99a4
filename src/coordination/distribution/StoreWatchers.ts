/**
 * Decides which daemons of a region watch the store, so that the others make no store call for each version.
 *
 * The first daemons of a region by rendezvous hash watch, those with fast links first, each in another failure domain where
 * there are enough: an answer of the store with a configuration occupies a weak link for long. Each
 * passes on when a watch was last known to work; a daemon watches when it has no fresh report of enough daemons before
 * it. Reports that a confirmation of the version should have followed count no longer once it is missing, whatever has
 * silenced the watches. Redundant watchers cost only calls.
 */
import { computeRendezvousHash } from "../../state/shared/index.js";

/** Daemons of a region that watch the store. */
export const WATCHERS_PER_SMALL_REGION = 2;
export const WATCHERS_PER_REGION = 3;
/** Number of daemons from which a region has `WATCHERS_PER_REGION` watchers. */
export const LARGE_REGION_MEMBERS = 15;
/**
 * Age beyond which a report says no longer that the watch works: one wait of a watch and its delay on the way over
 * several daemons.
 */
export const WATCH_REPORT_VALIDITY_MS = 6_000;
/** Share of the region's fastest link from which a link is fast. */
const FAST_LINK_SHARE = 0.5;
/** Wait before a daemon begins to watch for lack of reports, for each daemon of its region before it. */
const TAKEOVER_DELAY_PER_RANK_MS = 100;
const MAXIMUM_TAKEOVER_DELAY_MS = 2_500;
/** Mean time between two takeovers, with which the last and fastest ones take half of the store's rate. */
const TAKEOVER_INTERVAL_MS = 2;

const WATCHER_KEY = "configuration watcher";

/** Highest number of failed watches that are passed on. */
const MAXIMUM_FAILURE_REPORTS = 8;

/** State of the watch of a daemon of the same region. */
export interface WatchReport {
    readonly id: string;
    /** Whether the watch worked, or failed, at the time that the age tells. */
    readonly isWorking: boolean;
    /** Whole milliseconds since the watch was last known to work, or since it failed. */
    readonly ageMs: number;
}

/** A daemon of the region. */
export interface RegionMember {
    readonly id: string;
    readonly failureDomain: string;
    /** Rate of the VM's link; undefined when it isn't known. */
    readonly linkMegabitsPerSecond?: number;
}

interface WatchState {
    readonly at: number;
    readonly isWorking: boolean;
}

export class StoreWatchers {
    readonly #selfId: string;
    /** Time over which daemons take over after the version was not confirmed, in milliseconds. */
    readonly #takeoverSpreadMs: number;
    /** The newest state that is known of each watch. */
    readonly #states = new Map<string, WatchState>();
    /** Times at which watches of other regions were last known to work. */
    readonly #remoteWatches = new Map<string, number>();
    readonly #hashes = new Map<string, number>();
    /** Places of the region's daemons in the order in which they watch. */
    #places: ReadonlyMap<string, number> = new Map();
    /** Reports of watches that worked at this time or before no longer count. */
    #distrustedUntil = -Infinity;
    /** Time since which reports are missing; undefined while there are enough. */
    #missingSince: number | undefined;

    constructor(selfId: string, takeoverSpreadMs: number) {
        this.#selfId = selfId;
        this.#takeoverSpreadMs = takeoverSpreadMs;
    }

    /** Sets the daemons of the region, which determine the number of watchers and the order of takeovers. */
    setRegion(members: readonly RegionMember[]): void {
        this.#hashes.clear();
        this.#places = this.#rankMembers(members);
    }

    /** Merges reports that another daemon of the region passed on; returns whether one says that a watch has failed. */
    recordReports(reports: readonly WatchReport[], now: number): boolean {
        let hasFailure = false;
        for (const { ageMs, id, isWorking } of reports) {
            if (id !== this.#selfId) {
                const wasWorking = this.#states.get(id)?.isWorking === true;
                const isNew = this.#record(id, { at: now - Math.max(0, ageMs), isWorking });
                hasFailure ||= isNew && wasWorking && !isWorking;
            }
        }
        return hasFailure;
    }

    /** Records the watches of another region, which are told of confirmations. */
    recordRemoteReports(reports: readonly WatchReport[], now: number): void {
        for (const { ageMs, id, isWorking } of reports) {
            if (isWorking) {
                this.#remoteWatches.set(
                    id,
                    Math.max(this.#remoteWatches.get(id) ?? -Infinity, now - Math.max(0, ageMs)),
                );
            }
            else {
                this.#remoteWatches.delete(id);
            }
        }
    }

    /** Records that the own watch works. */
    recordOwnWatch(now: number): void {
        this.#record(this.#selfId, { at: now, isWorking: true });
    }

    /** Records that the own watch has failed; returns whether it worked before. */
    recordOwnFailure(now: number): boolean {
        const wasWorking = this.#states.get(this.#selfId)?.isWorking === true;
        if (wasWorking) {
            this.#record(this.#selfId, { at: now, isWorking: false });
        }
        return wasWorking;
    }

    /** Records that the process of another daemon has ended, and its watch with it; returns whether that worked before. */
    recordEnd(id: string, now: number): boolean {
        const wasWorking = this.#states.get(id)?.isWorking === true;
        if (wasWorking) {
            this.#record(id, { at: now, isWorking: false });
        }
        return wasWorking;
    }

    /** Records that no watch has confirmed the version since a time, though one should have. */
    recordLoss(since: number): void {
        this.#distrustedUntil = Math.max(this.#distrustedUntil, since);
    }

    /** Forgets the own watch, which has ended because others watch. */
    removeOwnWatch(): void {
        this.#states.delete(this.#selfId);
    }

    /** Lists the watches to pass on: the first working ones by rank, and those that have failed lately. */
    listReports(now: number): readonly WatchReport[] {
        const working = this.#listFresh(now, true).slice(0, this.#countWanted());
        return [...working, ...this.#listFresh(now, false).slice(0, MAXIMUM_FAILURE_REPORTS)].flatMap(id => {
            const state = this.#states.get(id);
            return state === undefined ? [] : [{ ageMs: Math.ceil(now - state.at), id, isWorking: state.isWorking }];
        });
    }

    /** Lists the other daemons of all regions that watch the store as far as is known. */
    listOtherWatchers(now: number): readonly string[] {
        for (const [id, at] of this.#remoteWatches) {
            if (now - at > WATCH_REPORT_VALIDITY_MS) {
                this.#remoteWatches.delete(id);
            }
        }
        return [...this.#listFresh(now, true).filter(id => id !== this.#selfId), ...this.#remoteWatches.keys()];
    }

    /** Whether a watcher before this one is known to work, so that this one needs to confirm only in its place. */
    hasEarlierWatcher(now: number): boolean {
        return this.#listEarlierWatchers(now).length > 0;
    }

    /** Whether this daemon should watch the store. `daemonCount` is that of all regions, which share the store's rate. */
    shouldWatch(now: number, isConfirmationMissing: boolean, daemonCount: number): boolean {
        if (this.#listEarlierWatchers(now).length >= this.#countWanted()) {
            this.#missingSince = undefined;
            return false;
        }
        this.#missingSince ??= now;
        const delayMs = isConfirmationMissing
            ? this.computeLossDelay(daemonCount)
            : Math.min(MAXIMUM_TAKEOVER_DELAY_MS, this.#countLaterThanWanted() * TAKEOVER_DELAY_PER_RANK_MS);
        return now - this.#missingSince >= delayMs;
    }

    /**
     * Computes how long after the loss of the confirmations this daemon waits for those before it. The first ones follow
     * each other at long distances, in which they can be heard of; the last ones as fast as the store's rate allows.
     */
    computeLossDelay(daemonCount: number): number {
        const spreadMs = Math.max(this.#takeoverSpreadMs, daemonCount * TAKEOVER_INTERVAL_MS);
        return spreadMs * Math.sqrt(this.#countLaterThanWanted() / Math.max(1, this.#places.size));
    }

    #listEarlierWatchers(now: number): readonly string[] {
        return this.#listFresh(now, true).filter(id => id !== this.#selfId && this.#compareIds(id, this.#selfId) < 0);
    }

    /** Number of daemons by which this one is behind the wanted ones, without those whose watches are lost. */
    #countLaterThanWanted(): number {
        const place = this.#places.get(this.#selfId) ?? 0;
        const lost = [...this.#states].filter(([id, state]) =>
            id !== this.#selfId && !this.#isTrusted(state) && this.#places.has(id)
            && this.#compareIds(id, this.#selfId) < 0
        );
        return Math.max(0, place - lost.length + 1 - this.#countWanted());
    }

    /** Keeps the newer of two states; returns whether the given one is. */
    #record(id: string, state: WatchState): boolean {
        const isNew = state.at > (this.#states.get(id)?.at ?? -Infinity);
        if (isNew) {
            this.#states.set(id, state);
        }
        return isNew;
    }

    #countWanted(): number {
        return this.#places.size >= LARGE_REGION_MEMBERS ? WATCHERS_PER_REGION : WATCHERS_PER_SMALL_REGION;
    }

    #isTrusted({ at, isWorking }: WatchState): boolean {
        return isWorking && at > this.#distrustedUntil;
    }

    #listFresh(now: number, isWorking: boolean): readonly string[] {
        for (const [id, { at }] of this.#states) {
            if (now - at > WATCH_REPORT_VALIDITY_MS) {
                this.#states.delete(id);
            }
        }
        const ids = [...this.#states]
            .filter(([, state]) => isWorking ? this.#isTrusted(state) : !state.isWorking)
            .map(([id]) => id);
        return ids.sort((left, right) => this.#compareIds(left, right));
    }

    /** Ranks by hash the first daemons with fast links of all failure domains, then the second ones, then those with weak links. */
    #rankMembers(members: readonly RegionMember[]): ReadonlyMap<string, number> {
        const fastest = Math.max(...members.map(({ linkMegabitsPerSecond = 0 }) => linkMegabitsPerSecond));
        const isWeak = ({ linkMegabitsPerSecond = 0 }: RegionMember): boolean =>
            linkMegabitsPerSecond < fastest * FAST_LINK_SHARE;
        const compareLinks = (left: RegionMember, right: RegionMember): number =>
            Number(isWeak(left)) - Number(isWeak(right));
        const sorted = [...members].sort((left, right) =>
            compareLinks(left, right) || this.#compareHashes(left.id, right.id)
        );
        const sizes = new Map<string, number>();
        const rounds = new Map<string, number>();
        for (const { failureDomain, id } of sorted) {
            const round = sizes.get(failureDomain) ?? 0;
            sizes.set(failureDomain, round + 1);
            rounds.set(id, round);
        }
        // The sort is stable, so that each round stays in the order of the hashes.
        sorted.sort((left, right) =>
            compareLinks(left, right) || (rounds.get(left.id) ?? 0) - (rounds.get(right.id) ?? 0)
        );
        return new Map(sorted.map(({ id }, place) => [id, place]));
    }

    /** Daemons that the region doesn't list come last. */
    #compareIds(left: string, right: string): number {
        const unlisted = this.#places.size;
        return (this.#places.get(left) ?? unlisted) - (this.#places.get(right) ?? unlisted)
            || this.#compareHashes(left, right);
    }

    #compareHashes(left: string, right: string): number {
        return this.#getHash(left) - this.#getHash(right) || (left < right ? -1 : 1);
    }

    #getHash(id: string): number {
        let hash = this.#hashes.get(id);
        if (hash === undefined) {
            hash = computeRendezvousHash(WATCHER_KEY, id);
            this.#hashes.set(id, hash);
        }
        return hash;
    }
}
