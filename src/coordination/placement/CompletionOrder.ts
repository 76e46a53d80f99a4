/**
 * Orders servers by the expected completion of a request, for services whose servers tell how long work takes.
 *
 * Load pattern: servers that differ in speed, and demand that moves between failure domains. Servers of other failure
 * domains are used before those of the own one queue, when the wait that this saves is worth the bytes.
 */
import type { OwnerStatistics } from "./OwnerStatistics.js";
import type { PlacementQuery } from "./PlacementTypes.js";

/**
 * Value of a millisecond of waiting relative to that of one answer: late answers lose half of their value, and the
 * usual target latency is 600 ms.
 */
const WAIT_VALUE_PER_MS = 0.5 / 600;
/** Success rate below which a server isn't avoided any more, so that its score stays finite. */
const MINIMUM_SUCCESS_RATE = 0.05;

/**
 * Returns a cost in milliseconds of waiting, of which the lowest is best; `linkCost` is relative to one answer. The work
 * time itself isn't part of it: within the target latency it costs the caller nothing, and the wait is in proportion to
 * it. With it, the busiest server of the replay gets 1.22 to 1.4 times the mean work and no more answers are in time.
 */
export function computeCompletionCost(
    statistics: OwnerStatistics,
    query: PlacementQuery,
    linkCost: number,
    now: number,
): number {
    const delayMs = statistics.estimateDelay(query, now);
    return delayMs / Math.max(MINIMUM_SUCCESS_RATE, statistics.successRate) + linkCost / WAIT_VALUE_PER_MS;
}
