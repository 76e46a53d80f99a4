import { findRoute } from "../../state/traffic/index.js";
import type { TrafficConfiguration } from "../../state/traffic/index.js";

/** A request with the decision that has led it to a service. */
export interface RoutedRequest {
    /** Version of the configuration that decided. */
    readonly version: number;
    readonly service: string;
    /** Names and values alternate. */
    readonly headers: readonly string[];
    /** Path and query. */
    readonly target: string;
}

const HOST_HEADER = "host";

/**
 * Whether a request may still go to the service that an older version has chosen for it. A decision by the same or a newer
 * version than `configuration` holds.
 */
export function isRouteCurrent(
    { headers, service, target, version }: RoutedRequest,
    configuration: TrafficConfiguration,
): boolean {
    if (version >= configuration.version) {
        return true;
    }
    const route = findRoute(configuration, findHost(headers), getPath(target));
    return route?.targets.some(other => other.service === service && other.weight > 0) === true;
}

/** Returns the path of a request target without its query. */
export function getPath(target: string): string {
    const queryAt = target.indexOf("?");
    return queryAt < 0 ? target : target.slice(0, queryAt);
}

function findHost(headers: readonly string[]): string | undefined {
    for (let index = 0; index + 1 < headers.length; index += 2) {
        if (headers[index]?.toLowerCase() === HOST_HEADER) {
            return headers[index + 1];
        }
    }
    return undefined;
}
