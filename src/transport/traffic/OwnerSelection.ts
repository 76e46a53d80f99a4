/** Selects the owner at which a request is placed, with what suspects and roll-outs demand. */
import { selectPlacement } from "../../coordination/placement/index.js";
import type { Placement, PlacementQuery } from "../../coordination/placement/index.js";
import type { Baseline } from "../../coordination/rollouts/index.js";
import type { Suspicion } from "../quarantine/index.js";
import type { ForwardingContext, ForwardingPlan } from "./ForwardingPlan.js";
import type { Owner } from "./ServerDirectory.js";

export interface SelectedOwner extends Placement<Owner> {
    /** Only for a server on trial, or one that is being promoted. */
    readonly baseline?: Baseline | undefined;
}

export interface OwnerQuery extends PlacementQuery {
    /** Owners at which the request was placed already. */
    readonly excluded: ReadonlySet<string>;
    readonly suspicion: Suspicion | undefined;
    readonly now: number;
}

export function selectOwner(
    context: ForwardingContext,
    { service }: Pick<ForwardingPlan, "service">,
    query: OwnerQuery,
): SelectedOwner | undefined {
    const { directory, random, rollouts } = context;
    const { excluded, now, suspicion } = query;
    if (suspicion !== undefined) {
        // All daemons that get the same suspect select the same owner, so that one server at most is lost to it.
        const owners = directory.listDesignatedOwner(service, suspicion.fingerprint, excluded, now);
        const placement = selectPlacement(owners, query, now, random);
        if (placement !== undefined || suspicion.isOnTrial) {
            return placement;
        }
    }
    const selectRegular = (): Placement<Owner> | undefined =>
        selectPlacement(directory.listCandidates(service, excluded, now), query, now, random)
            ?? selectPlacement(directory.listIncludingEjected(service, excluded, now), query, now, random);
    if (rollouts?.isAffected(service) !== true) {
        return selectRegular();
    }
    const trial = rollouts.selectTrial(service, query.route, directory.listOnTrial(service, excluded, now));
    const placement = trial === undefined ? undefined : selectPlacement(trial.owners, query, now, random);
    if (placement !== undefined) {
        return { ...placement, baseline: trial?.baseline };
    }
    const regular = selectRegular();
    return regular && { ...regular, baseline: rollouts.findBaseline(regular.candidate, query.route) };
}
