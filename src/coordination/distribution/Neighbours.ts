/**
 * Selects the daemons to which a daemon always keeps sessions. Records, versions and reports of watches spread over
 * these sessions, so they must connect all daemons, with few hops, and keep doing so when some of them fail.
 *
 * In its failure domain a daemon takes the successors at distances 1, 2, 4 and so on in the order of the rendezvous
 * hash: the number of sessions and of hops is logarithmic. It takes one daemon of each other domain of its region. The
 * first daemons of each domain take one daemon of each other region, so the links between regions carry few copies.
 */
import type { Member, MemberTable } from "../../state/members/index.js";

/** Daemons of a failure domain that keep a session to each other region. */
export const REGION_LINKS_PER_DOMAIN = 2;

/** Lists the ids of the neighbours; members for which `isExcluded` holds are replaced by their successors. */
export function selectNeighbours(
    table: MemberTable,
    self: Member,
    isExcluded: (id: string) => boolean,
): ReadonlySet<string> {
    const own = table.listRankedIds(self.failureDomain);
    const rank = Math.max(0, own.indexOf(self.id));
    const isUsable = (id: string): boolean => id !== self.id && !isExcluded(id);
    const neighbours = new Set<string>();
    for (let distance = 1; distance < own.length; distance *= 2) {
        addNext(neighbours, own, rank + distance, isUsable);
    }
    const domains = [...table.listDomains()].sort();
    const domainsOfRegion = domains.filter(domain => table.getRegion(domain) === self.region);
    for (const domain of domainsOfRegion) {
        if (domain !== self.failureDomain) {
            addNext(neighbours, table.listRankedIds(domain), rank, isUsable);
        }
    }
    if (rank < REGION_LINKS_PER_DOMAIN) {
        const position = domainsOfRegion.indexOf(self.failureDomain);
        for (const region of listOtherRegions(table, domains, self.region)) {
            const candidates = domains.filter(domain => table.getRegion(domain) === region);
            const domain = candidates[position % candidates.length];
            if (domain !== undefined) {
                addNext(neighbours, table.listRankedIds(domain), rank, isUsable);
            }
        }
    }
    return neighbours;
}

/** Adds the first usable member from a position on, which wraps around; none when all are added or unusable. */
function addNext(
    neighbours: Set<string>,
    ranked: readonly string[],
    position: number,
    isUsable: (id: string) => boolean,
): void {
    for (let offset = 0; offset < ranked.length; offset++) {
        const id = ranked[(position + offset) % ranked.length] as string;
        if (isUsable(id)) {
            neighbours.add(id);
            return;
        }
    }
}

function listOtherRegions(table: MemberTable, domains: readonly string[], region: string): readonly string[] {
    return [...new Set(domains.map(domain => table.getRegion(domain) as string))].filter(other => other !== region);
}
