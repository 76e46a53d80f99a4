import { MemberState } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import { SPILLOVER_START_UTILIZATION, SUBSET_SIZE } from "./BalancingConstants.js";

/** Locality of the daemon that selects a server. */
export interface Locality {
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
}

/** Servers of one service by distance: own failure domain, rest of the own region, other regions. */
export type LocalityGroups = readonly (readonly Member[])[];

/**
 * Groups the live servers by distance and limits each group to a subset that depends on the
 * daemon's id. Servers of cut-off domains are excluded unless there are no others.
 */
export function buildLocalityGroups(
    locality: Locality,
    members: readonly Member[],
    cutOffDomains: ReadonlySet<string>,
): LocalityGroups {
    const live = members.filter(member => member.state === MemberState.Live && member.server !== undefined);
    const reachable = live.filter(member => !cutOffDomains.has(member.failureDomain));
    const candidates = reachable.length > 0 ? reachable : live;
    const groups: Member[][] = [[], [], []];
    for (const member of candidates) {
        groups[computeDistance(locality, member)]?.push(member);
    }
    return groups.map(group => selectSubset(locality.id, group));
}

function computeDistance(locality: Locality, member: Member): 0 | 1 | 2 {
    if (member.failureDomain === locality.failureDomain) {
        return 0;
    }
    return member.region === locality.region ? 1 : 2;
}

/** Selects the daemon's subset of a group; its own server is always included. */
function selectSubset(daemonId: string, group: readonly Member[]): readonly Member[] {
    if (group.length <= SUBSET_SIZE) {
        return group;
    }
    const subset = rankByRendezvousHash(daemonId, group).slice(0, SUBSET_SIZE);
    const own = group.find(member => member.id === daemonId);
    return own === undefined || subset.includes(own) ? subset : [...subset.slice(1), own];
}

/** Share of requests that a group keeps: 1 up to the spillover start, then decreasing linearly to 0 at saturation. */
export function computeGroupShare(utilization: number): number {
    return Math.min(1, Math.max(0, (1 - utilization) / (1 - SPILLOVER_START_UTILIZATION)));
}
