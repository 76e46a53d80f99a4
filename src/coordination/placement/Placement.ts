/**
 * Selects the owner that serves a request.
 *
 * Load pattern: some failure domains lack slots while others have free ones, and using the links between
 * them is costly. A request stays in its own domain while it can meet its target latency there.
 */
import type { Random } from "../../state/shared/index.js";
import { computeCompletionCost } from "./CompletionOrder.js";
import type { OwnerStatistics } from "./OwnerStatistics.js";
import { Distance } from "./PlacementTypes.js";
import type { PlacementQuery } from "./PlacementTypes.js";

/** Value of a late answer relative to one in time, from the users' benefit of late answers and of served requests. */
const LATE_ANSWER_VALUE = 0.5;
/** Share of the work time over which the probability of meeting a limit falls from 1 to 0: the spread of work times. */
const LATENCY_SPREAD_FACTOR = 1;
/** Cost per millisecond of expected latency; a tie-breaker between otherwise equal servers. */
const LATENCY_COST_PER_MS = 0.00004;
/** Random part of a score, so that daemons with the same reports don't all select the same server. */
const SCORE_JITTER = 0.005;
const BYTES_PER_KILOBYTE = 1_000;
/** Probability of an answer before the deadline below which a request is not placed at an owner. */
const MINIMUM_ANSWER_PROBABILITY = 0.1;
/**
 * Probability of an answer in time from which servers are ordered by the expected wait. Below it all servers are busy: an
 * order by the wait spreads the overload evenly, so that most answers are a little late instead of some being refused.
 */
const CERTAIN_IN_TIME_PROBABILITY = 0.85;
/** Probability of an answer in time from which a request is placed whatever its bytes cost. */
const LIKELY_IN_TIME_PROBABILITY = 0.5;
/**
 * Cost of a kilobyte relative to the value of one answer, by distance: half of the users' link prices. It
 * mainly ranks servers. It refuses a request only when its answer would probably be late, so that no more
 * large answers are sent over a saturated link, which delays all of them.
 */
const LINK_COST_PER_KILOBYTE = {
    [Distance.SameDomain]: 0,
    [Distance.SameRegion]: 0.004,
    [Distance.OtherRegion]: 0.015,
} as const;

/** An owner that may be selected. */
export interface PlacementCandidate {
    readonly id: string;
    readonly statistics: OwnerStatistics;
}

export interface Placement<T extends PlacementCandidate> {
    readonly candidate: T;
    readonly score: number;
    /** Expected latency of the answer. */
    readonly latencyMs: number;
}

/** Returns the best candidate, or undefined when placing the request at any of them is not worthwhile. */
export function selectPlacement<T extends PlacementCandidate>(
    candidates: Iterable<T>,
    query: PlacementQuery,
    now: number,
    random: Random,
): Placement<T> | undefined {
    const all = [...candidates];
    const isWorkFactorTold = all.some(({ statistics }) => statistics.tellsWorkFactor);
    let best: Placement<T> | undefined;
    let quickest: Placement<T> & { readonly inTime: number; } | undefined;
    for (const candidate of all) {
        if (isWorkFactorTold && query.hasCrossed === true && candidate.statistics.distance !== Distance.SameDomain) {
            continue;
        }
        const latencyMs = candidate.statistics.estimateLatency(query, now);
        const { inTime, linkCost, served, value } = estimateResult(candidate.statistics, query, latencyMs, now);
        const score = value + random() * SCORE_JITTER;
        if (served < MINIMUM_ANSWER_PROBABILITY || value <= 0 && inTime < LIKELY_IN_TIME_PROBABILITY) {
            continue;
        }
        if (best === undefined || score > best.score) {
            best = { candidate, latencyMs, score };
        }
        if (isWorkFactorTold) {
            const quickness = -computeCompletionCost(candidate.statistics, query, linkCost, now);
            if (quickest === undefined || quickness > quickest.score) {
                quickest = { candidate, inTime, latencyMs, score: quickness };
            }
        }
    }
    return quickest !== undefined && quickest.inTime >= CERTAIN_IN_TIME_PROBABILITY ? quickest : best;
}

function estimateResult(statistics: OwnerStatistics, query: PlacementQuery, latencyMs: number, now: number) {
    const spreadMs = statistics.estimateWorkTime(query.route, now) * LATENCY_SPREAD_FACTOR;
    const inTime = estimateProbability(query.targetLeftMs - latencyMs, spreadMs);
    const served = estimateProbability(query.budgetLeftMs - latencyMs, spreadMs);
    const value = statistics.successRate * (served * LATE_ANSWER_VALUE + inTime * (1 - LATE_ANSWER_VALUE));
    const linkCost = query.bytes / BYTES_PER_KILOBYTE * LINK_COST_PER_KILOBYTE[statistics.distance];
    return { inTime, linkCost, served, value: value - linkCost - latencyMs * LATENCY_COST_PER_MS };
}

/** Probability of meeting a limit that lies `marginMs` after the expected latency. */
function estimateProbability(marginMs: number, spreadMs: number): number {
    return Math.min(1, Math.max(0, 0.5 + marginMs / Math.max(1, spreadMs)));
}
