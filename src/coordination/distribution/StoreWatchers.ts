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

/** A working watch of a daemon of the same region. */
export interface WatchReport {
    readonly id: string;
    /** Time since the watch was last known to work, in milliseconds. */
    readonly ageMs: number;
}

export class StoreWatchers {
    readonly #selfId: string;
    readonly #confirmedAt = new Map<string, number>();
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

    /** Merges reports that another daemon of the region passed on. */
    recordReports(reports: readonly WatchReport[], now: number): void {
        for (const { ageMs, id } of reports) {
            if (id !== this.#selfId) {
                this.#confirm(id, now - Math.max(0, ageMs));
            }
        }
    }

    /** Records that the own watch works. */
    recordOwnWatch(now: number): void {
        this.#confirm(this.#selfId, now);
    }

    /** Forgets a watch, for example after the daemon became unreachable. */
    removeReport(id: string): void {
        this.#confirmedAt.delete(id);
    }

    /** Lists the working watches to pass on, the first by rank. */
    listReports(now: number): readonly WatchReport[] {
        return this.#listFresh(now)
            .slice(0, this.#countWanted())
            .map(id => ({ ageMs: now - (this.#confirmedAt.get(id) ?? now), id }));
    }

    /** Whether this daemon should watch the store. */
    shouldWatch(now: number): boolean {
        const before = this.#listFresh(now).filter(id => id !== this.#selfId && this.#compareIds(id, this.#selfId) < 0);
        if (before.length >= this.#countWanted()) {
            this.#missingSince = undefined;
            return false;
        }
        this.#missingSince ??= now;
        return now - this.#missingSince >= this.#computeTakeoverDelay();
    }

    #confirm(id: string, at: number): void {
        if (at > (this.#confirmedAt.get(id) ?? -Infinity)) {
            this.#confirmedAt.set(id, at);
        }
    }

    #countWanted(): number {
        return this.#regionIds.length >= LARGE_REGION_MEMBERS ? WATCHERS_PER_REGION : WATCHERS_PER_SMALL_REGION;
    }

    #computeTakeoverDelay(): number {
        const late = Math.max(0, this.#rank + 1 - this.#countWanted());
        return Math.min(MAXIMUM_TAKEOVER_DELAY_MS, late * TAKEOVER_DELAY_PER_RANK_MS);
    }

    #listFresh(now: number): readonly string[] {
        for (const [id, at] of this.#confirmedAt) {
            if (now - at > WATCH_REPORT_VALIDITY_MS) {
                this.#confirmedAt.delete(id);
            }
        }
        return [...this.#confirmedAt.keys()].sort((left, right) => this.#compareIds(left, right));
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
