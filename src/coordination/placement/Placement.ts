/**
 * Chooses the owner that serves a request.
 *
 * Load pattern: failure domains that are short of slots beside others that have some, with links
 * between them that cost more than a small delay. A request stays near while it can be in time there.
 */
import type { Random } from "../../state/shared/index.js";
import type { OwnerStatistics } from "./OwnerStatistics.js";
import { Distance } from "./PlacementTypes.js";
import type { PlacementQuery } from "./PlacementTypes.js";

/** Value of a late answer against one in time: the users' benefit for late ones and their weight on being served. */
const LATE_ANSWER_VALUE = 0.5;
/** Part of the work time over which the chance of meeting a limit falls from 1 to 0; work times vary by about this. */
const LATENCY_SPREAD_FACTOR = 1;
/** Value lost per millisecond of expected latency; decides between servers that are otherwise equal. */
const LATENCY_COST_PER_MS = 0.00004;
/** Random part of a score, so that daemons with the same reports don't choose the same server. */
const SCORE_JITTER = 0.005;
const BYTES_PER_KILOBYTE = 1_000;
/** Chance of an answer at all below which a request is turned away at once instead of being placed. */
const MINIMUM_ANSWER_PROBABILITY = 0.1;
/** Chance of being in time from which an answer is sent whatever its bytes cost. */
const LIKELY_IN_TIME_PROBABILITY = 0.5;
/**
 * Price of a kilobyte against the value of one answer, by distance: half of the users' prices of links. It
 * decides between servers. A caller is turned away for it only when its answer would probably be late, so
 * that a link that is full of large answers, which delays all of them, gets no more.
 */
const LINK_COST_PER_KILOBYTE = {
    [Distance.SameDomain]: 0,
    [Distance.SameRegion]: 0.004,
    [Distance.OtherRegion]: 0.015,
} as const;

/** An owner that may be chosen. */
export interface PlacementCandidate {
    readonly id: string;
    readonly statistics: OwnerStatistics;
}

export interface Placement<T extends PlacementCandidate> {
    readonly candidate: T;
    readonly score: number;
    /** Expected time until the answer. */
    readonly latencyMs: number;
}

/** Returns the best candidate, or undefined when no server is likely to answer within the request's time. */
export function selectPlacement<T extends PlacementCandidate>(
    candidates: Iterable<T>,
    query: PlacementQuery,
    now: number,
    random: Random,
): Placement<T> | undefined {
    let best: Placement<T> | undefined;
    for (const candidate of candidates) {
        const latencyMs = candidate.statistics.estimateLatency(query, now);
        const { inTime, served, value } = estimateResult(candidate.statistics, query, latencyMs, now);
        const score = value + random() * SCORE_JITTER;
        const isWorthwhile = served >= MINIMUM_ANSWER_PROBABILITY
            && (value > 0 || inTime >= LIKELY_IN_TIME_PROBABILITY);
        if (isWorthwhile && (best === undefined || score > best.score)) {
            best = { candidate, latencyMs, score };
        }
    }
    return best;
}

function estimateResult(statistics: OwnerStatistics, query: PlacementQuery, latencyMs: number, now: number) {
    const spreadMs = statistics.estimateWorkTime(query.route, now) * LATENCY_SPREAD_FACTOR;
    const inTime = estimateProbability(query.targetLeftMs - latencyMs, spreadMs);
    const served = estimateProbability(query.budgetLeftMs - latencyMs, spreadMs);
    const value = statistics.successRate * (served * LATE_ANSWER_VALUE + inTime * (1 - LATE_ANSWER_VALUE));
    const cost = query.bytes / BYTES_PER_KILOBYTE * LINK_COST_PER_KILOBYTE[statistics.distance];
    return { inTime, served, value: value - cost - latencyMs * LATENCY_COST_PER_MS };
}

/** Chance that a limit is met which lies `marginMs` beyond the expected latency. */
function estimateProbability(marginMs: number, spreadMs: number): number {
    return Math.min(1, Math.max(0, 0.5 + marginMs / Math.max(1, spreadMs)));
}
