/** Request bodies up to this size are read before the first attempt, so that they can be sent again. */
export const BUFFERED_BODY_MAXIMUM_BYTES = 65_536;
/** Largest header section accepted, request line included. */
export const HEADER_MAXIMUM_BYTES = 16_384;
/** Time a caller has for its header section. */
export const HEADER_TIMEOUT_MS = 10_000;
/** Time after which an idle connection of a caller or daemon is closed. */
export const CALLER_IDLE_TIMEOUT_MS = 30_000;
/** Time after which an idle connection to a server or daemon is closed. */
export const SERVER_IDLE_TIMEOUT_MS = 4_000;
/** Connections to one other daemon's relay port. */
export const RELAY_MAXIMUM_CONNECTIONS = 32;
/** Time to connect to another daemon. */
export const RELAY_CONNECT_TIMEOUT_MS = 500;
/** Time by which an owner answers before the entry daemon's deadline, within a region and between regions. */
export const RELAY_DEADLINE_MARGIN_MS = 5;
export const RELAY_DEADLINE_MARGIN_BETWEEN_REGIONS_MS = 30;
/** Deadline of a request while no route is known, milliseconds. */
export const DEFAULT_RELAY_DEADLINE_MS = 5_000;
/** Resolution of deadlines. */
export const DEADLINE_RESOLUTION_MS = 5;
/** Pools without requests for this long are closed. */
export const POOL_IDLE_TIMEOUT_MS = 30_000;
/** Answer to a lease renewal must come within this time. */
export const LEASE_RENEWAL_TIMEOUT_MS = 800;
/** Retry-After of refusals that name no time of their own. */
export const DEFAULT_RETRY_AFTER_MS = 1_000;
/** Longest time for which a holder of claims works on a forwarded operation. */
export const FORWARDED_CLAIM_TIMEOUT_MS = 1_500;
