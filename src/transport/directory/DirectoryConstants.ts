/** Longest wait of one watch, after which an unresponsive connection is noticed. */
export const WATCH_WAIT_MS = 2_500;
/** Time beyond the wait for the store's answer to arrive. */
export const WATCH_GRACE_MS = 700;
/** Backoff after a failed call, doubled after each, with full jitter, and short, so that entries are back soon after outages. */
export const STORE_RETRY_BASE_MS = 100;
export const STORE_RETRY_MAXIMUM_MS = 1_000;
/** Interval of the checks whether this daemon should watch the store. */
export const WATCHER_CHECK_INTERVAL_MS = 100;
/** Time for which the status of another daemon is valid. */
export const STATUS_VALIDITY_MS = 2_000;
/** Time for the own watch to deliver a version that another daemon already has. */
export const OWN_WATCH_DELAY_MS = 300;
/** Delay before a version is requested from a daemon, by its distance; a nearer one usually has it by then. */
export const FETCH_DELAY_MS = [0, 100, 400] as const;
/** Delay before the same version is requested again. */
export const FETCH_RETRY_MS = 400;
