/** The server is on the same VM: a connection that is not made in this time is not going to be. */
export const CONNECT_TIMEOUT_MS = 400;
/** Idle connections older than this are closed, well before the idle timeout that servers of the users have (10 s). */
export const MAXIMUM_IDLE_MS = 6_000;
/**
 * A request that may run once takes only a connection that was in use this short a time ago: some servers forget
 * connections that rested for 300 ms, and whether a request on such a one ran can't be known.
 */
export const MAXIMUM_FRESH_IDLE_MS = 250;
/** Distance kept from the idle timeout that a server states. */
export const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Answers up to this size are passed on whole, so that one that breaks off can be replaced by another server's. */
export const MAXIMUM_BUFFERED_ANSWER_BYTES = 65_536;
/** Time beyond the request's budget in which the server's own answer at the budget arrives. */
export const ANSWER_GRACE_MS = 150;
/** Time in which the caller's daemon answers an offer: the longest round trip and a delay of its process. */
export const OFFER_TIMEOUT_MS = 500;
/** Less time than this is no use to any server. */
export const MINIMUM_BUDGET_MS = 5;
/** Pause named to callers when no server is open and nothing is known of its return. */
export const CLOSED_RETRY_AFTER_MS = 300;
/** Time in which a server beside the daemon answers a health check, with the wait for a slot. */
export const HEALTH_CHECK_TIMEOUT_MS = 1_000;
/** Pauses between health checks after a restart, with full jitter: a failed one is likely to fail again. */
export const CONFIRMATION_BASE_MS = 100;
export const CONFIRMATION_MAXIMUM_MS = 2_000;
/** Longest line and header block that is accepted from a server. */
export const ANSWER_HEADER_LIMIT_BYTES = 65_536;
