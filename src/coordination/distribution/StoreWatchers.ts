/** Selects the daemons that watch the store, so that the others make no store call for each version. */
import { rankByRendezvousHash } from "../../state/shared/index.js";

/** Daemons of a region that watch the store in normal operation; watchers of other regions are the fallback. */
const WATCHERS_PER_REGION = 1;

const WATCHER_KEY = "configuration watcher";

export interface WatcherQuery {
    readonly selfId: string;
    /** Reachable daemons of this daemon's region. */
    readonly reachable: readonly { readonly id: string; }[];
    /** Whether another daemon that recently sent a message has a working watch. */
    readonly isOtherWatching: boolean;
}

/** Whether this daemon should watch the store. Redundant watchers cost only additional calls. */
export function shouldWatchStore({ isOtherWatching, reachable, selfId }: WatcherQuery): boolean {
    if (!isOtherWatching) {
        return true;
    }
    const ranked = rankByRendezvousHash(WATCHER_KEY, [{ id: selfId }, ...reachable.filter(({ id }) => id !== selfId)]);
    return ranked.findIndex(({ id }) => id === selfId) < WATCHERS_PER_REGION;
}
