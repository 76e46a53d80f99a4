/** Longest wait of one watch: a connection that went silent is noticed after it. */
export const WATCH_WAIT_MS = 2_500;
/** Time beyond the wait in which the store's answer arrives. */
export const WATCH_GRACE_MS = 700;
/** Pause after a failed call, doubled with each further failure, with full jitter: entries are back soon after an outage. */
export const STORE_RETRY_BASE_MS = 100;
export const STORE_RETRY_MAXIMUM_MS = 1_000;
/** Time between looks at whether this daemon should watch the store. */
export const WATCHER_CHECK_INTERVAL_MS = 100;
/** What another daemon told of itself is believed for this time. */
export const STATUS_VALIDITY_MS = 2_000;
/** Time in which the own watch brings a version that another daemon already has. */
export const OWN_WATCH_DELAY_MS = 300;
/** Pause before a version is asked for from a daemon at this distance; a nearer one usually has it by then. */
export const FETCH_DELAY_MS = [0, 100, 400] as const;
/** Pause before the same version is asked for again. */
export const FETCH_RETRY_MS = 400;
