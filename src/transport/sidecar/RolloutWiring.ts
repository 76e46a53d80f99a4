import type { MemberRegistry } from "../directory/index.js";
import { RolloutManager } from "../rollouts/index.js";
import type { RolloutManagerOptions } from "../rollouts/index.js";
import { realTimers } from "../timers/index.js";
import type { SidecarSettings } from "./SidecarSettings.js";

export interface RolloutSources extends
    Omit<
        RolloutManagerOptions,
        "listMembers" | "readMembersGeneration" | "selfId" | "service" | "share" | "slack" | "timers"
    >
{
    readonly memberRegistry: MemberRegistry;
}

/** Creates the roll-outs of a daemon; undefined where the settings turn them off. */
export function createRollouts(
    { exposureShare, exposureSlack, id, service }: SidecarSettings,
    { memberRegistry, ...sources }: RolloutSources,
): RolloutManager | undefined {
    return exposureShare === undefined ? undefined : new RolloutManager({
        ...sources,
        listMembers: () => memberRegistry.list(),
        readMembersGeneration: () => memberRegistry.table.rankingGeneration,
        selfId: id,
        service,
        share: exposureShare,
        slack: exposureSlack,
        timers: realTimers,
    });
}
