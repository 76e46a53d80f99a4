/** Reviews the sums of all candidates of an order. */
import {
    ACCEPTANCE_RATIO,
    BUSY_SHARE,
    DOUBT_THRESHOLD,
    LAST_DOUBT_THRESHOLD,
    REJECTION_THRESHOLD,
    WANTED_ANSWERS,
    WEAK_ACCEPTANCE_ANSWERS,
    WEAK_ACCEPTANCE_RATIO,
} from "./RolloutConstants.js";
import { ALL_ROUTES } from "./RolloutTypes.js";
import type { OwnerReport, Rollout, RouteSums } from "./RolloutTypes.js";

export const Evidence = {
    /** Nothing was measured. */
    None: "none",
    /** Too few answers for a decision, or doubts. */
    Insufficient: "insufficient",
    /** Enough for a version that fails 35% of its requests, but not on each route. */
    Weak: "weak",
    Sufficient: "sufficient",
} as const;
export type Evidence = (typeof Evidence)[keyof typeof Evidence];

/** Adds up the sums of all owners by route. */
export function sumRoutes(reports: Iterable<OwnerReport>): ReadonlyMap<string, RouteSums> {
    const totals = new Map<string, RouteSums>();
    for (const { sums } of reports) {
        for (const { alarm, bad, ratio, requests, route } of sums) {
            const total = totals.get(route);
            totals.set(route, {
                alarm: alarm + (total?.alarm ?? 0),
                bad: bad + (total?.bad ?? 0),
                ratio: ratio + (total?.ratio ?? 0),
                requests: requests + (total?.requests ?? 0),
                route,
            });
        }
    }
    return totals;
}

/** Returns the route whose answers reject the version, or the sums over all routes; undefined while none do. */
export function findRejection({ reports }: Pick<Rollout, "reports">): RouteSums | undefined {
    return [...sumRoutes(reports.values()).values()].find(({ alarm }) => alarm >= REJECTION_THRESHOLD);
}

/**
 * Whether answers of this route are wanted more than those of others, so that they may use slack: a fault on one route with
 * few requests is found only if most of these are tried.
 */
export function isWanted({ reports }: Pick<Rollout, "reports">, route: string): boolean {
    const totals = sumRoutes(reports.values());
    const requests = totals.get(route)?.requests ?? 0;
    const mean = (totals.get(ALL_ROUTES)?.requests ?? 0) / Math.max(1, totals.size - 1);
    return requests < WANTED_ANSWERS && requests <= mean;
}

/** `isLast` tells that there is no time for more answers. */
export function reviewEvidence({ reports }: Pick<Rollout, "reports">, isLast: boolean): Evidence {
    const totals = sumRoutes(reports.values());
    const all = totals.get(ALL_ROUTES);
    if (all === undefined || all.requests === 0) {
        return Evidence.None;
    }
    const hasDoubts = [...totals.values()].some(({ alarm }) =>
        alarm >= (isLast ? LAST_DOUBT_THRESHOLD : DOUBT_THRESHOLD)
    );
    if (hasDoubts || all.ratio > WEAK_ACCEPTANCE_RATIO || all.requests < WEAK_ACCEPTANCE_ANSWERS) {
        return Evidence.Insufficient;
    }
    const isEachRouteMeasured = [...totals.values()].every(({ requests }) =>
        requests >= WANTED_ANSWERS || requests < BUSY_SHARE * all.requests
    );
    return isEachRouteMeasured && all.ratio <= ACCEPTANCE_RATIO ? Evidence.Sufficient : Evidence.Weak;
}
