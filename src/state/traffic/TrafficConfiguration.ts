/** Routes and limits by which a daemon proxies requests on a platform whose operator writes them to the store. */

/** What may be repeated of a route's requests. */
export const RequestKind = {
    /** May run more than once. */
    Idempotent: "idempotent",
    /** Runs at most once for each request of a caller. */
    AtMostOnce: "once",
    /** Idempotent with a large answer, which is streamed. */
    Download: "download",
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A service and its part of a route's requests; weights need no particular sum. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

export interface RoutePolicy {
    readonly name: string;
    readonly pathPrefix: string;
    readonly kind: RequestKind;
    /** One target, or several between which requests are split by weight. */
    readonly targets: readonly RouteTarget[];
    /** Backend servers to which one request may be sent. */
    readonly maximumServers: number;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: number;
    /** Time within which an answer is in time. */
    readonly targetLatencyMs: number;
    /** 0 is the highest. */
    readonly priority: number;
}

export interface ServicePolicy {
    readonly name: string;
    readonly healthPath: string;
    /** Connections that a server accepts from all its clients together. */
    readonly maximumConnections: number;
}

/** What a caller may send, and how long it may take or stay idle. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One whole version. Immutable; a daemon replaces it as a whole and only by one of a higher revision. */
export interface TrafficConfiguration {
    /** Position in the store's order of changes; orders the versions. */
    readonly revision: number;
    /** Number that the operator gave the version. */
    readonly version: number;
    /** Routes by lower-case host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly RoutePolicy[]>;
    readonly services: ReadonlyMap<string, ServicePolicy>;
    readonly limits: CallerLimits;
}

/** Whether a request of the kind may be sent again after it may have run. */
export function isRepeatable(kind: RequestKind): boolean {
    return kind !== RequestKind.AtMostOnce;
}

/** Finds the route with the longest prefix of `path` under `host`; both as the request line and header state them. */
export function findRoute(
    configuration: TrafficConfiguration,
    host: string | undefined,
    path: string,
): RoutePolicy | undefined {
    const name = host?.toLowerCase().replace(/:\d*$/, "") ?? "";
    return configuration.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
}
