/** Longest wait of one watch, with which its report stays younger than the time for which it counts. */
export const WATCH_WAIT_MS = 4_000;
/** Wait of a check at the store, which tells only what is there already. */
export const CHECK_WAIT_MS = 1;
/** Shortest pause before a check while a watch waits. */
export const MINIMUM_CHECK_PAUSE_MS = 20;
/** Time for the store to answer a check: some times as long as its last answer took, within these limits. */
export const MINIMUM_ANSWER_TIMEOUT_MS = 400;
export const MAXIMUM_ANSWER_TIMEOUT_MS = 2_000;
export const TIMEOUT_ROUND_TRIPS = 4;
/** Confirmations by a watcher after others in its region, as a multiple of the time of the first one. */
export const LATER_WATCHER_FACTOR = 1.5;
/** Share by which the times of confirmations vary, so that the watchers of different regions don't confirm together. */
export const CONFIRMATION_JITTER = 0.2;
/** Time beyond the wait for the store's answer to arrive. */
export const WATCH_GRACE_MS = 700;
/** Backoff after a failed call, doubled after each, with full jitter, and short, so that entries are back soon after outages. */
export const STORE_RETRY_BASE_MS = 100;
export const STORE_RETRY_MAXIMUM_MS = 1_000;
/** Interval of the checks whether this daemon should watch the store. */
export const WATCHER_CHECK_INTERVAL_MS = 100;
/** Wait for the records of the others, which name those that watch the store, before the store is read without them. */
export const REGISTRATION_TIMEOUT_MS = 4_000;
/** Time for the own watch to deliver a version that another daemon already has. */
export const OWN_WATCH_DELAY_MS = 300;
/** Delay before a version is requested from a daemon, by its distance; a nearer one usually has it by then. */
export const FETCH_DELAY_MS = [0, 100, 400] as const;
/** Delay before the same version is requested again. */
export const FETCH_RETRY_MS = 300;
/** Requests for a version that go to one daemon each; later ones go to two daemons at once. */
export const SINGLE_SOURCE_ATTEMPTS = 2;
/** Time after which a daemon that gets no copy reads the store. */
export const STORE_READ_DELAY_MS = 900;
/** Time over which these readings are spread, for each daemon, so that all of them take a tenth of the store's rate. */
export const STORE_READ_SPREAD_PER_DAEMON_MS = 5;
/** Pause before the store is read again, doubled after each answer without the version; a silence of the store tells nothing. */
export const STORE_REREAD_BASE_MS = 1_000;
export const STORE_REREAD_MAXIMUM_MS = 30_000;
/**
 * Backoff after a renewal of the lease that nobody has answered, doubled after each, with full jitter. Shorter than the time after
 * which the users' rules count a VM as in touch again, since its version decides unconfirmed until then.
 */
export const LEASE_RETRY_BASE_MS = 1_000;
export const LEASE_RETRY_MAXIMUM_MS = 2_000;
/** Share of the own link for copies of versions, and the time of it that may be used at once. */
export const COPY_LINK_SHARE = 0.5;
export const COPY_BURST_MS = 200;
/** Time over which the watchers of a region begin to write records that a restored store lacks. */
export const RESTORE_SPREAD_MS = 1_000;
/** Time in which new records are gathered before they are passed on. */
export const RECORD_BATCH_DELAY_MS = 50;
/** Shortest time between two exchanges of digests that a daemon begins. */
export const DIGEST_EXCHANGE_INTERVAL_MS = 1_000;
export const MAXIMUM_DOMAINS_PER_EXCHANGE = 4;
