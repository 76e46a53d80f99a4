/**
 * Selects the servers of a service to which a daemon keeps sessions.
 *
 * Load pattern: many daemons that each send few requests. Each daemon takes consecutive servers in the order of the
 * rendezvous hash, and starts at its own place among the daemons of its failure domain, so that all servers get
 * nearly the same number of sessions. Near servers come first; some of other domains and regions serve when the near
 * ones are full or gone.
 */
import { Distance } from "./PlacementTypes.js";

/** Servers that a daemon uses of one service, by distance. */
export const SUBSET_SIZES = {
    [Distance.SameDomain]: 6,
    [Distance.SameRegion]: 3,
    [Distance.OtherRegion]: 1,
} as const;
/** Servers that a daemon uses of a service at least, whatever their distance. */
const MINIMUM_SUBSET_SIZE = 6;
/** Highest number of servers by which a subset is widened, in total over the distances. */
export const MAXIMUM_EXTRA_SERVERS = 8;

/** Servers of one service, by distance, each in the order of the rendezvous hash. */
export interface ServersByDistance {
    readonly [Distance.SameDomain]: readonly string[];
    readonly [Distance.SameRegion]: readonly string[];
    readonly [Distance.OtherRegion]: readonly string[];
}

export interface SubsetQuery {
    /** Place of the daemon among those that select from the same servers, from 0 to below 1. */
    readonly position: number;
    /** Servers to select besides the usual number, because those of the subset were not enough. */
    readonly extra: number;
    isExcluded(id: string): boolean;
}

const NEAREST_FIRST = [Distance.SameDomain, Distance.SameRegion, Distance.OtherRegion] as const;

/** Lists the ids of the selected servers, the nearest first. */
export function selectSubset(servers: ServersByDistance, query: SubsetQuery): readonly string[] {
    const selected: string[] = [];
    let missing = 0;
    let extra = Math.min(query.extra, MAXIMUM_EXTRA_SERVERS);
    for (const distance of NEAREST_FIRST) {
        const usable = servers[distance].filter(id => !query.isExcluded(id));
        const wanted = Math.max(SUBSET_SIZES[distance], distance === Distance.OtherRegion ? missing : 0) + extra;
        const taken = selectConsecutive(usable, query.position, wanted);
        selected.push(...taken);
        extra = Math.min(extra, wanted - taken.length);
        missing = MINIMUM_SUBSET_SIZE - selected.length;
    }
    return selected;
}

function selectConsecutive(ids: readonly string[], position: number, count: number): readonly string[] {
    const start = Math.floor(position * ids.length);
    return Array.from(
        { length: Math.min(count, ids.length) },
        (_value, offset) => ids[(start + offset) % ids.length] as string,
    );
}
