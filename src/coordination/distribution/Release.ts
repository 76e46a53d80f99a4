/** Time without a second failure domain after which a version read from the store is released unwitnessed. */
export const UNWITNESSED_RELEASE_TIMEOUT_MS = 2_000;

/** Members of the relay's own failure domain that must hold a version besides the relay. */
const WITNESSES_IN_DOMAIN = 2;
/** Failure domains that must hold a version. */
const REQUIRED_FAILURE_DOMAINS = 2;

/**
 * Whether a failure domain holds a version, that is, its relay and the two next-ranked connected members do.
 * `heldByChildren` are the versions that the relay's children in its own domain hold, in rank order.
 */
export function isHeldByDomain(version: number, heldByChildren: readonly number[]): boolean {
    return heldByChildren.slice(0, WITNESSES_IN_DOMAIN).every(held => held >= version);
}

/** Returns the highest version that enough failure domains hold; `heldByDomains` has one entry per reporting domain. */
export function computeReleasableVersion(heldByDomains: readonly number[], domainCount: number): number {
    const needed = Math.max(1, Math.min(REQUIRED_FAILURE_DOMAINS, domainCount));
    return heldByDomains.toSorted((a, b) => b - a)[needed - 1] ?? 0;
}
