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

export const RouteCheck = {
    /** `configuration` leads the request to its service, or a newer version has decided. */
    Current: "current",
    /** An older version has decided, and `configuration` leads the request elsewhere. */
    Outdated: "outdated",
    /** The same version has decided, and yet leads the request elsewhere: the other daemon has misplaced it. */
    Misplaced: "misplaced",
} as const;
export type RouteCheck = (typeof RouteCheck)[keyof typeof RouteCheck];

/** Compares the service that has been chosen for a request with those to which a configuration leads it. */
export function checkRoute(
    { headers, service, target, version }: RoutedRequest,
    configuration: TrafficConfiguration,
): RouteCheck {
    if (version > configuration.version) {
        return RouteCheck.Current;
    }
    const route = findRoute(configuration, findHost(headers), getPath(target));
    if (route?.targets.some(other => other.service === service && other.weight > 0) === true) {
        return RouteCheck.Current;
    }
    return version < configuration.version ? RouteCheck.Outdated : RouteCheck.Misplaced;
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
