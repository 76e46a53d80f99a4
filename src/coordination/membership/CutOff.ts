/** Time without reaching any member of a failure domain after which the domain is cut off. */
export const CUT_OFF_AFTER_MS = 5_000;

/** Time since which each failure domain has been unreachable, on the observer's monotonic clock. */
export type UnreachableSince = ReadonlyMap<string, number>;

/** Removes the domains that are reached at `now` and adds those that are newly unreachable. */
export function updateUnreachable(
    unreachable: UnreachableSince,
    domains: readonly string[],
    isReached: (domain: string) => boolean,
    now: number,
): UnreachableSince {
    const missing = domains.filter(domain => !isReached(domain));
    return new Map(missing.map(domain => [domain, unreachable.get(domain) ?? now]));
}

/** Domains unreachable for at least `CUT_OFF_AFTER_MS`, with the time since which they are. */
export function listCutOffDomains(
    unreachable: UnreachableSince,
    now: number,
): readonly { domain: string; since: number; }[] {
    return [...unreachable]
        .filter(([, since]) => now - since >= CUT_OFF_AFTER_MS)
        .map(([domain, since]) => ({ domain, since }));
}
