/** A failure domain counts as cut off when none of its members was reached for this long. */
export const CUT_OFF_AFTER_MS = 5_000;

/** Since when each failure domain has not been reached, by the observer's steady clock. */
export type UnreachableSince = ReadonlyMap<string, number>;

/** Updates the observation with the domains that are reached at `now`. */
export function updateUnreachable(
    unreachable: UnreachableSince,
    domains: readonly string[],
    isReached: (domain: string) => boolean,
    now: number,
): UnreachableSince {
    const missing = domains.filter(domain => !isReached(domain));
    return new Map(missing.map(domain => [domain, unreachable.get(domain) ?? now]));
}

/** Domains that were not reached for `CUT_OFF_AFTER_MS`, with the time since when. */
export function listCutOffDomains(
    unreachable: UnreachableSince,
    now: number,
): readonly { domain: string; since: number; }[] {
    return [...unreachable]
        .filter(([, since]) => now - since >= CUT_OFF_AFTER_MS)
        .map(([domain, since]) => ({ domain, since }));
}
