/**
 * Computes when a caller whose request was refused should retry.
 *
 * Load pattern: a burst whose callers would otherwise retry at the same time and cause the next burst.
 */
import type { Random } from "../../state/shared/index.js";

/** Lower bound; an earlier retry would meet the same queues. */
const MINIMUM_RETRY_AFTER_MS = 60;
/** Largest share of their remaining time that callers wait before a retry, as the platform documents. */
const MAXIMUM_SHARE_OF_TIME_LEFT = 1 / 3;
/** Relative jitter around the time at which a slot is expected to be free. */
const RETRY_AFTER_JITTER = 0.6;

/** Milliseconds after which the caller should retry; `nextFreeSlotMs` is the expected time until a slot is free. */
export function computeRetryAfter(nextFreeSlotMs: number, callerLeftMs: number, random: Random): number {
    const maximumMs = Math.max(0, callerLeftMs) * MAXIMUM_SHARE_OF_TIME_LEFT;
    const jitter = 1 + RETRY_AFTER_JITTER * (random() - 0.5) * 2;
    return Math.max(MINIMUM_RETRY_AFTER_MS, Math.min(nextFreeSlotMs * jitter, maximumMs));
}
