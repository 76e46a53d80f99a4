import { computeRendezvousScore } from "../../state/members/index.js";
import type { MemberTable } from "../../state/members/index.js";

/** Maximum number of children of one daemon in the distribution tree. */
export const TREE_FANOUT = 8;

/** Position of one daemon in the tree, computed from its own member table. */
export interface TreePosition {
    /** Rank in the daemon's failure domain; the number of members if the daemon is not listed. */
    readonly rank: number;
    readonly isDomainRelay: boolean;
    readonly isRegionRelay: boolean;
    /** Candidates for the parent, the computed one first, then its ancestors. Empty for a region relay. */
    readonly parents: readonly string[];
    /** Region relays of the other regions; empty unless the daemon is a region relay. */
    readonly otherRegionRelays: readonly string[];
}

/** Position of a daemon that has not joined the mesh yet; it has no role. */
export const UNJOINED_POSITION: TreePosition = {
    isDomainRelay: false,
    isRegionRelay: false,
    otherRegionRelays: [],
    parents: [],
    rank: 0,
};

/** Lists the domain relays of a region, the region relay first. */
export function listDomainRelays(table: MemberTable, region: string): readonly string[] {
    return table.listDomains()
        .filter(domain => table.getRegion(domain) === region)
        .flatMap(domain => {
            const id = table.listRankedIds(domain)[0];
            return id === undefined ? [] : [{ id, score: computeRendezvousScore(domain, id) }];
        })
        .sort((a, b) => a.score - b.score || (a.id < b.id ? -1 : 1))
        .map(relay => relay.id);
}

export function listRegions(table: MemberTable): readonly string[] {
    const regions = table.listDomains().map(domain => table.getRegion(domain) as string);
    return [...new Set(regions)].sort();
}

/** Computes a daemon's position in the tree; `excluded` are members that it recently failed to reach. */
export function computeTreePosition(
    table: MemberTable,
    self: { readonly id: string; readonly failureDomain: string; readonly region: string; },
    excluded: ReadonlySet<string> = new Set(),
): TreePosition {
    const ranked = table.listRankedIds(self.failureDomain);
    const found = ranked.indexOf(self.id);
    const rank = found < 0 ? ranked.length : found;
    const relays = listDomainRelays(table, self.region).filter(id => !excluded.has(id));
    const isDomainRelay = ranked.slice(0, rank).every(id => excluded.has(id));
    const isRegionRelay = isDomainRelay && (relays.length === 0 || relays[0] === self.id);
    const parents = isDomainRelay ? relays.filter(id => id !== self.id) : listAncestors(ranked, rank);
    return {
        isDomainRelay,
        isRegionRelay,
        otherRegionRelays: isRegionRelay ? listOtherRegionRelays(table, self.region, excluded) : [],
        parents: isRegionRelay ? [] : parents.filter(id => !excluded.has(id)),
        rank,
    };
}

/** Lists the computed parent, its ancestors up to the relay, then other members of lower rank. */
function listAncestors(ranked: readonly string[], rank: number): readonly string[] {
    const ancestors: string[] = [];
    for (let at = rank; at > 0;) {
        at = Math.floor((at - 1) / TREE_FANOUT);
        ancestors.push(ranked[at] as string);
    }
    const others = ranked.slice(0, Math.min(rank, 4 * TREE_FANOUT)).filter(id => !ancestors.includes(id));
    return [...ancestors, ...others];
}

function listOtherRegionRelays(table: MemberTable, region: string, excluded: ReadonlySet<string>): readonly string[] {
    return listRegions(table)
        .filter(other => other !== region)
        .flatMap(other => listDomainRelays(table, other).filter(id => !excluded.has(id)).slice(0, 1));
}
