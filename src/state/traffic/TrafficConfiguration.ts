/** Routes and limits by which a daemon proxies requests on a platform whose operator writes them to the store. */
import type { TenantTable } from "./TenantTable.js";

/** Whether requests of a route may run more than once, and whether their answers are streamed. */
export const RequestKind = {
    /** May run more than once. */
    Idempotent: "idempotent",
    /** Runs at most once per request of a caller. */
    AtMostOnce: "once",
    /** Idempotent with a large answer, which is streamed. */
    Download: "download",
    /** Runs at most once, with a large body. */
    Upload: "upload",
} as const;
export type RequestKind = (typeof RequestKind)[keyof typeof RequestKind];

/** A service and its share of a route's requests; weights may have any sum. */
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
    /** Maximum number of backend servers to which one request may be sent. */
    readonly maximumServers: number;
    /** Maximum time that a caller waits for its answer. */
    readonly timeoutMs: number;
    /** Latency up to which an answer meets the route's target. */
    readonly targetLatencyMs: number;
    /** 0 is the highest priority. */
    readonly priority: number;
    /** Whether requests need no key where the configuration has tenants. */
    readonly isPublic?: boolean | undefined;
}

export interface ServicePolicy {
    readonly name: string;
    readonly healthPath: string;
    /** Maximum number of connections that a server accepts from all its clients together. */
    readonly maximumConnections: number;
}

/** Limits on the size of a caller's requests, on the time to send headers and on idle connections. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: number;
    readonly idleTimeoutMs: number;
}

/** One version of the configuration. Immutable; a daemon replaces it only by one with a higher number. */
export interface TrafficConfiguration {
    /** Revision of the store that holds the version. */
    readonly revision: number;
    /** Number assigned by the operator, higher with each version; orders the versions. */
    readonly version: number;
    /** Routes by lower-case host, the longest prefix first. */
    readonly routesByHost: ReadonlyMap<string, readonly RoutePolicy[]>;
    readonly services: ReadonlyMap<string, ServicePolicy>;
    readonly limits: CallerLimits;
    /** Tenants whose callers are recognized by their keys; undefined when requests need no key. */
    readonly tenants?: TenantTable | undefined;
    /** Entries that are faulty and not in force, each with its place. */
    readonly findings?: readonly string[] | undefined;
}

/** Returns whether a request of the kind may be sent again after it may have run. */
export function isRepeatable(kind: RequestKind): boolean {
    return kind !== RequestKind.AtMostOnce && kind !== RequestKind.Upload;
}

/** Finds the route of `host` with the longest prefix of `path`; both are given as the request states them. */
export function findRoute(
    configuration: TrafficConfiguration,
    host: string | undefined,
    path: string,
): RoutePolicy | undefined {
    const name = host?.toLowerCase().replace(/:\d*$/, "") ?? "";
    return configuration.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
}
