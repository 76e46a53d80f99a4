/**
 * Decides which daemons of a region watch the store, so that the others make no store call for each version.
 *
 * The daemons with the lowest rendezvous hashes of a region watch. Each passes on when a watch was last known to work;
 * a daemon watches when it has no fresh report of enough daemons before it. Redundant watchers cost only calls.
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
/** Wait before a daemon begins to watch for lack of reports, for each daemon of its region before it. */
const TAKEOVER_DELAY_PER_RANK_MS = 100;
const MAXIMUM_TAKEOVER_DELAY_MS = 2_500;

const WATCHER_KEY = "configuration watcher";

/** Highest number of failed watches that are passed on. */
const MAXIMUM_FAILURE_REPORTS = 8;

/** State of the watch of a daemon of the same region. */
export interface WatchReport {
    readonly id: string;
    /** Whether the watch worked, or failed, at the time that the age tells. */
    readonly isWorking: boolean;
    /** Time since the watch was last known to work, or since it failed, in milliseconds. */
    readonly ageMs: number;
}

interface WatchState {
    readonly at: number;
    readonly isWorking: boolean;
}

export class StoreWatchers {
    readonly #selfId: string;
    /** The newest state that is known of each watch. */
    readonly #states = new Map<string, WatchState>();
    readonly #hashes = new Map<string, number>();
    #rank = 0;
    #regionIds: readonly string[] = [];
    /** Time since which reports are missing; undefined while there are enough. */
    #missingSince: number | undefined;

    constructor(selfId: string) {
        this.#selfId = selfId;
    }

    /** Sets the daemons of the region, which determine the number of watchers and the order of takeovers. */
    setRegion(ids: readonly string[]): void {
        this.#regionIds = ids;
        this.#hashes.clear();
        this.#rank = ids.filter(id => id !== this.#selfId && this.#compareIds(id, this.#selfId) < 0).length;
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

    /** Forgets the own watch, which has ended because others watch. */
    removeOwnWatch(): void {
        this.#states.delete(this.#selfId);
    }

    /** Lists the watches to pass on: the first working ones by rank, and those that have failed lately. */
    listReports(now: number): readonly WatchReport[] {
        const working = this.#listFresh(now, true).slice(0, this.#countWanted());
        return [...working, ...this.#listFresh(now, false).slice(0, MAXIMUM_FAILURE_REPORTS)].flatMap(id => {
            const state = this.#states.get(id);
            return state === undefined ? [] : [{ ageMs: now - state.at, id, isWorking: state.isWorking }];
        });
    }

    /** Whether this daemon should watch the store. */
    shouldWatch(now: number): boolean {
        const before = this.#listFresh(now, true).filter(id =>
            id !== this.#selfId && this.#compareIds(id, this.#selfId) < 0
        );
        if (before.length >= this.#countWanted()) {
            this.#missingSince = undefined;
            return false;
        }
        this.#missingSince ??= now;
        return now - this.#missingSince >= this.#computeTakeoverDelay();
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
        return this.#regionIds.length >= LARGE_REGION_MEMBERS ? WATCHERS_PER_REGION : WATCHERS_PER_SMALL_REGION;
    }

    #computeTakeoverDelay(): number {
        const late = Math.max(0, this.#rank + 1 - this.#countWanted());
        return Math.min(MAXIMUM_TAKEOVER_DELAY_MS, late * TAKEOVER_DELAY_PER_RANK_MS);
    }

    #listFresh(now: number, isWorking: boolean): readonly string[] {
        for (const [id, { at }] of this.#states) {
            if (now - at > WATCH_REPORT_VALIDITY_MS) {
                this.#states.delete(id);
            }
        }
        const ids = [...this.#states].filter(([, state]) => state.isWorking === isWorking).map(([id]) => id);
        return ids.sort((left, right) => this.#compareIds(left, right));
    }

    #compareIds(left: string, right: string): number {
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
