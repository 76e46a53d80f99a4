/**
 * Decides after which time a request is hedged, and whether and at which server.
 *
 * Load pattern: some servers are slow for a while, without a sign of it in their load reports, while others have free
 * slots. Where slots are short, a hedge delays other requests, and all would be slower.
 */
import type { Random } from "../../state/shared/index.js";
import { selectPlacement } from "../placement/index.js";
import type { Placement, PlacementCandidate, PlacementQuery } from "../placement/index.js";
import {
    BUSY_SHARE,
    FIRST_ANSWER_PROBABILITY,
    LATENCY_SPREAD,
    LOAD_MAXIMUM_AGE_MS,
    LOWEST_QUANTILE,
    MINIMUM_RECHECK_MS,
    RECHECK_FACTOR,
    SLOW_FACTOR,
} from "./HedgingConstants.js";
import type { LatencyDistribution } from "./LatencyDistribution.js";

/** Why a request is not hedged now. */
export const HedgeObstacle = {
    Budget: "hedge-budget",
    FirstIsFaster: "first-is-faster",
    NoCandidate: "no-candidate",
    RetryBudget: "retry-budget",
    ShortOfCapacity: "short-of-capacity",
} as const;
export type HedgeObstacle = (typeof HedgeObstacle)[keyof typeof HedgeObstacle];

export interface HedgeSettings {
    /** Hedges for each repeatable request; 0: none. */
    readonly share: number;
    readonly minimumDelayMs: number;
    /** Names of routes that are never hedged. */
    readonly excludedRoutes: readonly string[];
}

/** A server that accepts requests, on a VM of its own. */
export interface HedgeCandidate extends PlacementCandidate {
    readonly failureDomain: string;
}

export interface HedgeQuery<T extends HedgeCandidate> extends PlacementQuery {
    /** Server that has the request. */
    readonly first: T;
    /** Time since it was sent there. */
    readonly elapsedMs: number;
    readonly latencies: LatencyDistribution;
}

export interface HedgeSelection<T extends HedgeCandidate> {
    /** Where to send the hedge; undefined when there is an obstacle. */
    readonly placement?: Placement<T>;
    readonly obstacle?: HedgeObstacle;
}

/** Time without an answer after which a request is hedged; undefined when its route is not hedged. */
export function computeHedgeDelay(
    { excludedRoutes, minimumDelayMs, share }: HedgeSettings,
    route: string,
    latencies: LatencyDistribution,
): number | undefined {
    if (share <= 0 || excludedRoutes.includes(route)) {
        return undefined;
    }
    // A smaller share is spent on the slowest requests, not on the first ones that are slow enough.
    const quantileMs = latencies.estimateQuantile(Math.max(LOWEST_QUANTILE, 1 - share));
    return quantileMs === undefined ? undefined : Math.max(minimumDelayMs, quantileMs);
}

/** Time after which a request that could not be hedged is looked at again. */
export function computeRecheckDelay(hedgeDelayMs: number): number {
    return Math.max(MINIMUM_RECHECK_MS, hedgeDelayMs * RECHECK_FACTOR);
}

/**
 * Selects a second server that would probably answer first. `servers` are those of the service that accept requests;
 * those in `excluded` have got the request already.
 */
export function selectHedge<T extends HedgeCandidate>(
    servers: Iterable<T>,
    excluded: ReadonlySet<string>,
    query: HedgeQuery<T>,
    now: number,
    random: Random,
): HedgeSelection<T> {
    const known = [...servers].filter(({ statistics }) =>
        statistics.load !== undefined && now - statistics.loadReceivedAt <= LOAD_MAXIMUM_AGE_MS
    );
    if (isShortOfCapacity(known)) {
        return { obstacle: HedgeObstacle.ShortOfCapacity };
    }
    const workTimes = known.map(({ statistics }) => statistics.estimateWorkTime(query.route, now)).sort((left, right) =>
        left - right
    );
    const longestWorkMs = (workTimes[workTimes.length >> 1] ?? Infinity) * SLOW_FACTOR;
    const candidates = known.filter(({ id, statistics }) =>
        !excluded.has(id) && hasFreeSlot(statistics) && statistics.estimateWorkTime(query.route, now) <= longestWorkMs
    );
    const elsewhere = candidates.filter(candidate => isElsewhereAtSameCost(candidate, query.first));
    const placement = selectPlacement(elsewhere, query, now, random) ?? selectPlacement(candidates, query, now, random);
    if (placement === undefined || placement.latencyMs > query.budgetLeftMs) {
        return { obstacle: HedgeObstacle.NoCandidate };
    }
    return estimateProbability(query, placement.latencyMs) < FIRST_ANSWER_PROBABILITY
        ? { obstacle: HedgeObstacle.FirstIsFaster }
        : { placement };
}

/** Probability that a second server answers before the first one, which has had the request for some time. */
function estimateProbability({ elapsedMs, latencies }: HedgeQuery<HedgeCandidate>, latencyMs: number): number {
    const survivals = LATENCY_SPREAD.map(factor =>
        latencies.estimateSurvival(elapsedMs, elapsedMs + latencyMs * factor)
    );
    return survivals.reduce((sum, survival) => sum + survival, 0) / survivals.length;
}

function isShortOfCapacity(servers: readonly HedgeCandidate[]): boolean {
    let slots = 0;
    let busy = 0;
    for (const { statistics: { load } } of servers) {
        slots += load?.slots ?? 0;
        // A long queue at one slow server says nothing of the others.
        busy += Math.min(load?.slots ?? 0, (load?.running ?? 0) + (load?.queued ?? 0));
    }
    return busy >= BUSY_SHARE * slots;
}

/** Whether a server has a free slot by its last report and by what was sent there; one that names a limit has none to spare. */
function hasFreeSlot({ inFlight, load }: HedgeCandidate["statistics"]): boolean {
    return load !== undefined && load.limitPerSecond === undefined && load.isOpen
        && Math.max(load.running + load.queued, inFlight) < load.slots;
}

/** Whether a server is in another failure domain than the first one, over links that cost no more. */
function isElsewhereAtSameCost(candidate: HedgeCandidate, first: HedgeCandidate): boolean {
    return candidate.failureDomain !== first.failureDomain
        && candidate.statistics.distance <= first.statistics.distance;
}
