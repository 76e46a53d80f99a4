/** Interval of the parts' periodic work. */
export const TICK_MS = 200;
/** Heartbeat between the two sides of a tree link when nothing else was sent. */
export const HEARTBEAT_MS = 1_000;
/** Heartbeats missed before a link counts as lost. */
export const MISSED_HEARTBEATS = 3;
/** Time for a connection and its handshake. */
export const HANDSHAKE_TIMEOUT_MS = 2_000;
/** Time for answers to questions that travel up the tree. */
export const REQUEST_TIMEOUT_MS = 3_000;
/** Time in which a member that could not be reached is not tried again. */
export const EXCLUSION_DURATION_MS = 5_000;
/** Children of the own failure domain that a daemon takes, above the fanout of 8 while members move. */
export const CHILD_LIMIT = 16;
/** Children of other failure domains: domain relays, and new daemons that know no nearer one. */
export const FOREIGN_CHILD_LIMIT = 32;
/** Connections in their handshake at one time; more are closed and come again with jitter. */
export const CONCURRENT_HANDSHAKE_LIMIT = 64;
/** Time after which the records of members that left or died, and of cut-off domains, are dropped. */
export const TOMBSTONE_RETENTION_MS = 600_000;
