/** Interval at which components do their periodic work. */
export const TICK_MS = 200;
/** Interval of heartbeats on a link over which nothing else is sent. */
export const HEARTBEAT_MS = 1_000;
/** Missed heartbeats after which a link is considered lost. */
export const MISSED_HEARTBEATS = 3;
/** Timeout of connection setup, and of the handshake that follows. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Timeout of requests that are forwarded up the tree. */
export const REQUEST_TIMEOUT_MS = 3_000;
/** Time for which a member that could not be reached is not tried again. */
export const EXCLUSION_DURATION_MS = 5_000;
/** Maximum children of the own failure domain; above the fanout of 8 to leave room while members change parents. */
export const CHILD_LIMIT = 16;
/** Maximum children of other failure domains: domain relays, and new daemons that know no closer daemon. */
export const FOREIGN_CHILD_LIMIT = 32;
/** Maximum concurrent handshakes of accepted connections; further ones are closed and retried with jitter. */
export const CONCURRENT_HANDSHAKE_LIMIT = 64;
/** Time for which the records of members that left or died are retained. */
export const TOMBSTONE_RETENTION_MS = 600_000;
