import type { Member } from "../../state/members/index.js";
import type { MeshView, ReadMeshView } from "../../state/view/index.js";

import { MemberState } from "../../state/members/index.js";
import { rankByRendezvousHash } from "../../state/shared/index.js";
import { HOLDERS_PER_SHARD } from "./ClaimConstants.js";

/**
 * Creates a function that returns the holders of a shard: live daemons of the store's region, ranked
 * by rendezvous hashing. Daemons with different views may select different holders, which costs
 * only additional writes. Rankings are computed on demand and cached until the view changes.
 */
export function createHolderSelector(readView: ReadMeshView): (shard: number) => readonly Member[] {
    let rankedView: MeshView | undefined;
    let candidates: readonly Member[] = [];
    let holdersByShard = new Map<number, readonly Member[]>();

    return shard => {
        const view = readView();
        if (view !== rankedView) {
            rankedView = view;
            candidates = listCandidates(view);
            holdersByShard = new Map();
        }
        const cached = holdersByShard.get(shard);
        if (cached) {
            return cached;
        }
        const holders = rankByRendezvousHash(`claims/${shard}`, candidates).slice(0, HOLDERS_PER_SHARD);
        holdersByShard.set(shard, holders);
        return holders;
    };
}

function listCandidates(view: MeshView): readonly Member[] {
    const storeRegion = view.configuration?.document.mesh.storeRegion;
    return [...view.members.values()].filter(member =>
        member.region === storeRegion
        && member.state === MemberState.Live
        && !view.cutOffDomains.has(member.failureDomain)
    );
}
