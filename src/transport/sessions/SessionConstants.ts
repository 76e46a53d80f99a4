/** Covers one round trip between regions and a scheduling delay of the other daemon's process. */
export const CONNECT_TIMEOUT_MS = 700;
/** Time for the other daemon to answer a hello; covers the same delays as `CONNECT_TIMEOUT_MS`. */
export const HANDSHAKE_TIMEOUT_MS = 700;
/** Backoff before reconnecting, doubled after each failure, with full jitter. */
export const RECONNECT_BASE_MS = 60;
export const RECONNECT_MAXIMUM_MS = 1_000;
/** Ping interval of a daemon with few sessions, whose pings keep the load reports fresh; it grows with their number. */
export const MINIMUM_PING_INTERVAL_MS = 500;
/** Number of sessions up to which all are pinged at `MINIMUM_PING_INTERVAL_MS`. */
export const FEW_SESSIONS = 14;
export const MAXIMUM_PING_INTERVAL_MS = 3_000;
/** Longest ping interval on sessions with neighbours, over which the reports of working watches are passed on. */
export const NEIGHBOUR_PING_INTERVAL_MS = 1_500;
/** Highest rate of pings over all sessions of a daemon with more than a few, until the interval reaches its maximum. */
export const MAXIMUM_PINGS_PER_SECOND = 12;
/** Silence after which a session with requests in flight is pinged, whatever its interval. */
export const PENDING_PING_INTERVAL_MS = 500;
/** Time without any message after a ping after which a connection counts as unresponsive. */
export const PING_TIMEOUT_MS = 1_250;
/** Interval at which the sessions are checked. */
export const SESSION_TICK_MS = 250;
/** Checks that a connection has to stay unresponsive for: one ends however long this daemon itself was held. */
export const PING_TIMEOUT_TICKS = PING_TIMEOUT_MS / SESSION_TICK_MS;
/** Checks on a lost connection after which repeatable requests may be placed elsewhere. */
export const DISCONNECTED_OWNER_TICKS = 2;
/** Time for which both sides keep the state of a session without a connection. */
export const SESSION_RETENTION_MS = 6_000;
