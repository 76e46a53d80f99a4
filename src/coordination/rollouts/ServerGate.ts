/** Decides what an owner does with requests for its server, because of an order. */
import { OwnerPhase, RolloutStage } from "./RolloutTypes.js";
import type { Rollout } from "./RolloutTypes.js";

/**
 * Returns the phase of a server. `isInForce` tells that the target version was served before the order, and no other one:
 * then there is nothing to try out.
 */
export function selectPhase(
    { order: { targetVersion }, stage }: Pick<Rollout, "order" | "stage">,
    softwareVersion: string,
    isInForce: boolean,
): OwnerPhase {
    const isTarget = softwareVersion === targetVersion;
    switch (stage) {
        case RolloutStage.Trial:
            return isTarget && !isInForce ? OwnerPhase.Candidate : OwnerPhase.Open;
        case RolloutStage.Promoting:
        case RolloutStage.Succeeded:
            return isTarget ? OwnerPhase.Promoted : OwnerPhase.Closed;
        case RolloutStage.Rejected:
        case RolloutStage.RolledBack:
            return isTarget ? OwnerPhase.Closed : OwnerPhase.Open;
    }
}
