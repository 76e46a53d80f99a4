/**
 * Decides when a caller whose request was turned away should come back.
 *
 * Load pattern: a burst whose callers would otherwise return together and form the next one.
 */
import type { Random } from "../../state/shared/index.js";

/** Shortest time that is worth naming: below it the same queues are met again. */
const MINIMUM_RETRY_AFTER_MS = 60;
/** Callers honour at most this part of the time that they have left, by the platform's pages. */
const MAXIMUM_SHARE_OF_TIME_LEFT = 1 / 3;
/** Width of the spread around the time at which capacity is expected, as a factor. */
const RETRY_AFTER_JITTER = 0.6;

/** Milliseconds after which the caller should return. `capacityInMs` is when a slot is expected to be free. */
export function computeRetryAfter(nextFreeSlotMs: number, callerLeftMs: number, random: Random): number {
    const honouredMs = Math.max(0, callerLeftMs) * MAXIMUM_SHARE_OF_TIME_LEFT;
    const spread = 1 + RETRY_AFTER_JITTER * (random() - 0.5) * 2;
    return Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(nextFreeSlotMs * spread, honouredMs));
}
