/** Decides which daemons watch the store, so that the others need no call of their own for each version. */
import { rankByRendezvousHash } from "../../state/shared/index.js";

/** Daemons of a region that watch the store while all is well; watchers of other regions are the reserve. */
const WATCHERS_PER_REGION = 1;

const WATCHER_KEY = "configuration watcher";

export interface WatcherQuery {
    readonly selfId: string;
    /** Daemons of the own region that can be reached. */
    readonly reachable: readonly { readonly id: string; }[];
    /** Whether any other daemon that was heard from lately has a working watch. */
    readonly isOtherWatching: boolean;
}

/** Whether this daemon should watch the store. Two that both think so cost calls only. */
export function shouldWatchStore({ isOtherWatching, reachable, selfId }: WatcherQuery): boolean {
    if (!isOtherWatching) {
        return true;
    }
    const ranked = rankByRendezvousHash(WATCHER_KEY, [{ id: selfId }, ...reachable.filter(({ id }) => id !== selfId)]);
    return ranked.findIndex(({ id }) => id === selfId) < WATCHERS_PER_REGION;
}
