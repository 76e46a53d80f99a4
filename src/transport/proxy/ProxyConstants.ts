/** Request bodies up to this size are read whole before the first attempt, so that a retry can send them again. */
export const BUFFERED_BODY_MAXIMUM_BYTES = 65_536;
/** Maximum size of a header section, including the request line. */
export const HEADER_MAXIMUM_BYTES = 16_384;
/** Time within which a caller must have sent its header section. */
export const HEADER_TIMEOUT_MS = 10_000;
/** Idle connections of callers and other daemons are closed after this time. */
export const CALLER_IDLE_TIMEOUT_MS = 30_000;
/** Idle connections to backend servers and other daemons are closed after this time. */
export const SERVER_IDLE_TIMEOUT_MS = 4_000;
/** Maximum number of connections to the relay port of one other daemon. */
export const RELAY_MAXIMUM_CONNECTIONS = 32;
/** Timeout for connecting to another daemon. */
export const RELAY_CONNECT_TIMEOUT_MS = 500;
/** Margin by which the deadline sent to an owner in the same region lies before the entry daemon's own deadline. */
export const RELAY_DEADLINE_MARGIN_MS = 5;
/** The same margin for an owner in another region. */
export const RELAY_DEADLINE_MARGIN_BETWEEN_REGIONS_MS = 30;
/** Time limit of a relayed request without a valid deadline header. */
export const DEFAULT_RELAY_DEADLINE_MS = 5_000;
/** Deadlines are rounded up to a multiple of this time. */
export const DEADLINE_RESOLUTION_MS = 5;
/** Connection pools without a request for this time are closed. */
export const POOL_IDLE_TIMEOUT_MS = 30_000;
/** Time within which an owner must answer a lease renewal. */
export const LEASE_RENEWAL_TIMEOUT_MS = 800;
/** Retry-After of refusals that state no time of their own. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Time within which a claim holder must answer a forwarded claim operation. */
export const FORWARDED_CLAIM_TIMEOUT_MS = 1_500;
