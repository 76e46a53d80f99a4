/** Decides whether a request may be served, from what a version says of its key and from how old that version is. */
import { computeKeyDigest } from "../../state/traffic/index.js";
import type { RoutePolicy, Tenant, TrafficConfiguration } from "../../state/traffic/index.js";

/** What a version says of the key of a request. */
export interface KeyFinding {
    /** Whether the version has tenants and the route isn't public; undefined where there are no tenants. */
    readonly needsKey?: boolean | undefined;
    /** Tenant of the key; undefined when the version doesn't know it or doesn't ask for it. */
    readonly tenant?: Tenant | undefined;
}

export const Access = {
    Granted: "granted",
    /** The key is missing or unknown, by a version that may say so. */
    Denied: "denied",
    /** The version is too old to decide on a key: the request isn't run, and may be sent again. */
    Unconfirmed: "unconfirmed",
} as const;
export type Access = (typeof Access)[keyof typeof Access];

/** How the version that decides is known to be the newest. */
export interface VersionState {
    /** Time since no newer version was known to be in the store; Infinity while that isn't known. */
    readonly ageMs: number;
    readonly isUnderLease: boolean;
}

/**
 * Share of the revocation deadline for which a version may admit a key. The rest is for clocks that differ in rate and for
 * the time between a decision and the reading of the age before it.
 */
const CONFIRMED_SHARE = 0.9;

/** Finds the tenant of a key in a version. */
export function findKeyFinding(
    { tenants }: TrafficConfiguration,
    route: RoutePolicy | undefined,
    key: string | undefined,
): KeyFinding {
    return buildFinding(tenants !== undefined, route, () => key === undefined ? undefined : tenants?.findByKey(key));
}

/** Like `findKeyFinding`, for the digest of a key that another daemon has sent. */
export function findDigestFinding(
    { tenants }: TrafficConfiguration,
    route: RoutePolicy | undefined,
    digest: string | undefined,
): KeyFinding {
    return buildFinding(
        tenants !== undefined,
        route,
        () => digest === undefined ? undefined : tenants?.findByKeyDigest(digest),
    );
}

function buildFinding(
    hasTenants: boolean,
    route: RoutePolicy | undefined,
    findTenant: () => Tenant | undefined,
): KeyFinding {
    if (!hasTenants || route === undefined) {
        return {};
    }
    return route.isPublic === true ? { needsKey: false } : { needsKey: true, tenant: findTenant() };
}

/** Computes the digest that a route query names; undefined without a key. */
export function computeQueryDigest(key: string | undefined): string | undefined {
    return key === undefined ? undefined : computeKeyDigest(key);
}

/** Whether a version denies a request: calls of running requests need no key. */
export function isDenied({ needsKey, tenant }: KeyFinding, isNested: boolean): boolean {
    return needsKey === true && tenant === undefined && !isNested;
}

/**
 * Decides on a request. A key is admitted while its version was known to be the newest less than the revocation deadline
 * ago: then a version without the key was acknowledged less than that ago, if at all. Without a deadline, any age will do.
 */
export function computeAccess(
    finding: KeyFinding,
    isNested: boolean,
    { ageMs, isUnderLease }: VersionState,
    revocationDeadlineMs: number | undefined,
): Access {
    if (isDenied(finding, isNested)) {
        return isUnderLease ? Access.Denied : Access.Unconfirmed;
    }
    return finding.tenant === undefined || revocationDeadlineMs === undefined
            || ageMs < CONFIRMED_SHARE * revocationDeadlineMs
        ? Access.Granted
        : Access.Unconfirmed;
}
