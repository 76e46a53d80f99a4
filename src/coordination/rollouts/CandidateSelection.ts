/** Selects the candidates that get requests during a trial: few, so that each is as loaded as a server in regular use. */
import { rankByRendezvousHash } from "../../state/shared/index.js";
import { MAXIMUM_ACTIVE_CANDIDATES, MINIMUM_ACTIVE_CANDIDATES } from "./RolloutConstants.js";

/** Number of servers that the share of the requests keeps as busy as the present ones. */
export function computeActiveCount(share: number, presentServers: number): number {
    return Math.min(MAXIMUM_ACTIVE_CANDIDATES, Math.max(MINIMUM_ACTIVE_CANDIDATES, Math.round(share * presentServers)));
}

/** Returns the first candidates by rank, the same ones at all daemons that can reach the same ones. */
export function selectActive<T extends { readonly id: string; }>(
    targetVersion: string,
    candidates: readonly T[],
    count: number,
): readonly T[] {
    return rankByRendezvousHash(targetVersion, candidates).slice(0, count);
}
