import { isRouteCurrent } from "../../coordination/routing/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { OwnedRequest, OwnerRefusal } from "../ownership/index.js";

/**
 * Returns why a request must not run at the own server, since a version before the one in force has led it there;
 * undefined for others. Its caller's daemon routes it anew.
 */
export function findOutdatedRefusal(
    request: OwnedRequest,
    configuration: TrafficConfiguration | undefined,
): OwnerRefusal | undefined {
    if (configuration === undefined || isRouteCurrent(request, configuration)) {
        return undefined;
    }
    return {
        detail: `version ${configuration.version} doesn't lead the request to ${request.service}, `
            + `as version ${request.version} does`,
        reason: RefusalReason.Outdated,
        retryAfterMs: 0,
    };
}
