import { checkRoute, RouteCheck } from "../../coordination/routing/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import type { OwnedRequest, OwnerRefusal } from "../ownership/index.js";

/**
 * Returns why a request must not run at the own server, since a version before the one in force has led it there;
 * undefined for others. Its caller's daemon routes it anew. A request that the version in force leads elsewhere, although
 * it has decided, is logged: it shows a fault of the daemon that has decided.
 */
export function findOutdatedRefusal(
    request: OwnedRequest,
    configuration: TrafficConfiguration | undefined,
    log: PartLogger,
): OwnerRefusal | undefined {
    if (configuration === undefined) {
        return undefined;
    }
    if (isTenantGone(request, configuration)) {
        return {
            detail:
                `version ${configuration.version} doesn't have the request's tenant, as version ${request.version} does`,
            reason: RefusalReason.Outdated,
            retryAfterMs: 0,
        };
    }
    const check = checkRoute(request, configuration);
    if (check === RouteCheck.Current) {
        return undefined;
    }
    const { requestId, service, target, version } = request;
    if (check === RouteCheck.Misplaced) {
        log.error(`version ${version} doesn't lead a request to ${service}, although it has decided.`, {
            requestId,
            service,
            target,
            version,
        });
        return undefined;
    }
    return {
        detail: `version ${configuration.version} doesn't lead the request to ${service}, as version ${version} does`,
        reason: RefusalReason.Outdated,
        retryAfterMs: 0,
    };
}

/** Whether a newer version than the one that has decided no longer has the tenant of a request. */
function isTenantGone({ tenant, version }: OwnedRequest, configuration: TrafficConfiguration): boolean {
    return tenant !== undefined && configuration.version > version && configuration.tenants !== undefined
        && configuration.tenants.get(tenant) === undefined;
}
