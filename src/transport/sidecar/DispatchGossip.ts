/** Passes messages that concern neither a request nor a session to the parts of a daemon that handle them. */
import type { GossipMessage } from "../../protocol/session/index.js";
import type { ConfigurationManager, MemberGossip } from "../directory/index.js";
import type { QuarantineManager } from "../quarantine/index.js";
import type { QuotaManager } from "../quotas/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import type { RouteQueries } from "../routes/index.js";

export interface GossipParts {
    readonly configurationManager: ConfigurationManager;
    readonly memberGossip: MemberGossip;
    readonly quarantine: QuarantineManager;
    readonly quotas: QuotaManager | undefined;
    readonly rollouts: RolloutManager | undefined;
    readonly routeQueries: RouteQueries;
}

/** `transitMs` is the longest time that the message can have been on its way. */
export function dispatchGossip(
    parts: GossipParts,
    id: string,
    message: Exclude<GossipMessage, { readonly kind: "status"; }>,
    transitMs: number,
): void {
    switch (message.kind) {
        case "configuration":
            parts.configurationManager.applyCompressed(message, id);
            return;
        case "configurationDifference":
            parts.configurationManager.applyDifference(message, id);
            return;
        case "configurationRequest":
            parts.configurationManager.answerRequest(id, message.baseChecksum);
            return;
        case "crashes":
            parts.quarantine.handle(id, message);
            return;
        case "quotaDemand":
        case "quotaGrant":
            parts.quotas?.handle(id, message, transitMs);
            return;
        case "rolloutReports":
            parts.rollouts?.handle(id, message);
            return;
        case "routeAnswer":
            parts.routeQueries.handleAnswer(id, message);
            return;
        case "routeQuery":
            parts.routeQueries.answerQuery(id, message);
            return;
        default:
            parts.memberGossip.handle(id, message);
    }
}
