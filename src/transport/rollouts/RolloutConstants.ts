/** Interval at which orders are looked at; a step of an order is at most this late. */
export const TICK_MS = 100;
/** Interval at which owners of candidates spread their sums. */
export const REPORT_INTERVAL_MS = 1_000;
/** Interval at which owners of candidates tell callers' daemons their load, with the slack that is left. */
export const LOAD_INTERVAL_MS = 500;
/** Time in which news is gathered before it is passed on, unless it closes or opens gates. */
export const NEWS_BATCH_MS = 150;
/** Time after which a gate opens without an answer of the store, unless another version serves. */
export const STORE_SILENCE_MS = 2_000;
/** Time for which a server of a new version waits for an order, since orders are written at about the time of its start. */
export const ORDER_GRACE_MS = 1_500;
/** Time for which the owner of a server of a new version watches for an order itself. */
export const NEW_VERSION_WATCH_MS = 20_000;
export const WATCH_WAIT_MS = 10_000;
/** Backoff after a failed call, with full jitter. */
export const RETRY_BASE_MS = 150;
export const RETRY_MAXIMUM_MS = 2_000;
/** Shortest time between two attempts to write a status. */
export const WRITE_INTERVAL_MS = 200;
/** Daemons that watch for orders. */
export const WATCHERS = 2;
/** Daemons, by rank, that may take the place of a watcher. */
export const WATCHER_RANKS = 6;
/** Time for which watchers have to be unreachable before the next daemon takes their place. */
export const TAKEOVER_MS = 1_500;
/** Time for which the process of an owner has to refuse connections before it isn't waited for; a restart takes less. */
export const GONE_MS = 1_000;
/** Time for which a daemon that has started waits for the records of another one while an order runs. */
export const PEER_WAIT_MS = 1_000;
/** Time after which a daemon without records of another one takes its own version for the only one. */
export const ALONE_MS = 5_000;
/** Owners of a service with which a writer keeps sessions besides its own ones while an order runs. */
export const MAXIMUM_WATCHED_OWNERS = 64;
/** Time between writers of different ranks. */
export const WRITER_STEP_MS = 500;
/** Time after the end of a roll-out for which sessions to the servers of both versions are kept. */
export const SESSION_RETENTION_MS = 20_000;
/** Slack of a candidate at which each caller's daemon tries to use it; with less, a part of them does. */
export const SLACK_FOR_ALL = 4;
/** Time that a caller waits at least before it sends a request again that a closed server has refused. */
export const CLOSED_RETRY_AFTER_MS = 250;
