/** A daemon that can be reached accepts a connection within one round trip between regions and a delay of its process. */
export const CONNECT_TIMEOUT_MS = 700;
/** Time in which the other daemon answers a hello; as for a connection. */
export const HANDSHAKE_TIMEOUT_MS = 700;
/** Pause before a connection is opened again, doubled after each failure, with full jitter. */
export const RECONNECT_BASE_MS = 60;
export const RECONNECT_MAXIMUM_MS = 1_000;
/** Time between signs of life on a session with few others; more sessions mean longer pauses. */
export const MINIMUM_PING_INTERVAL_MS = 500;
export const MAXIMUM_PING_INTERVAL_MS = 2_000;
/** Signs of life that a daemon sends in a second, at most, over all its sessions. */
export const MAXIMUM_PINGS_PER_SECOND = 40;
/** Pings without an answer after which a connection counts as silent. */
export const KEEPALIVE_TIMEOUT_PINGS = 2.5;
/** Time after which requests on a lost connection are offered elsewhere if they may be repeated. */
export const DISCONNECTED_OWNER_TIMEOUT_MS = 250;
/** Time for which both sides keep the state of a session without a connection. */
export const SESSION_RETENTION_MS = 6_000;
