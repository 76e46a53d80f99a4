/** Wait beyond a request's deadline for an answer in transit; callers wait no longer for the outcome. */
export const DEADLINE_GRACE_MS = 120;
/** Pause after which a streamed answer whose deadline has passed is taken for stalled; others are delivered, also late. */
export const STALLED_STREAM_MS = 250;
/** Highest number of owners at which one request is placed. */
export const MAXIMUM_PLACEMENTS = 4;
/** Highest number of times that newer versions lead one request to another service. */
export const MAXIMUM_REROUTES = 3;
/** A retry with less time left than this is not worth sending. */
export const MINIMUM_RETRY_TIME_MS = 40;
/** Shortest delay before a hedged request. */
export const MINIMUM_HEDGE_DELAY_MS = 100;
/** Retry delay sent to callers while this daemon has no configuration or knows no server of a service. */
export const DEFAULT_RETRY_AFTER_MS = 300;
/** Highest total size of the request bodies in memory. */
export const BUFFERED_BODIES_LIMIT_BYTES = 96 * 1_048_576;
/** Largest header block that the parser accepts; the limit of the configuration is checked afterwards. */
export const PARSER_HEADER_LIMIT_BYTES = 131_072;
/** Highest share of a service's servers that may be ejected at a time. */
export const MAXIMUM_EJECTED_SHARE = 0.5;
/** Limits that apply before a version is in force. */
export const INITIAL_HEADER_TIMEOUT_MS = 3_000;
export const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/** Pause before the port of callers is opened again, if that has failed. */
export const REOPEN_DELAY_MS = 50;
/** Time after the beginning of a planned stop in which new requests are still served: callers notice the stop late. */
export const DRAIN_ACCEPT_MS = 3_000;
/** Time that a request may need in a planned stop, in target latencies; most take less than one. */
export const DRAIN_TARGET_FACTOR = 1.5;
/** Time without requests after which a stopping daemon is taken to have no callers left. */
export const DRAIN_IDLE_MS = 600;
export const DRAIN_CHECK_INTERVAL_MS = 50;
/** Callers go elsewhere after two unanswered health checks, one second apart. */
export const MINIMUM_DRAIN_MS = 2_300;
