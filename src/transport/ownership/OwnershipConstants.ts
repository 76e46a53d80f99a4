/** The server is on the same VM: a connection that takes longer than this is not going to succeed. */
export const CONNECT_TIMEOUT_MS = 400;
/** Time for the server to close its side of a connection that another one replaces. */
export const ORDERLY_CLOSE_TIMEOUT_MS = 20;
/** Connections idle for longer than this are closed, well before the idle timeout of the users' servers (10 s). */
export const MAXIMUM_IDLE_MS = 6_000;
/**
 * A non-idempotent request uses only a connection that was idle for at most this time. Some servers drop
 * connections that were idle for 300 ms, and whether a request on such a connection ran can't be known.
 */
export const MAXIMUM_FRESH_IDLE_MS = 250;
/** Time before the idle timeout stated by a server at which an idle connection is closed. */
export const IDLE_TIMEOUT_MARGIN_MS = 1_000;
/** Answers up to this size are buffered, so that a truncated one can be replaced by another server's answer. */
export const MAXIMUM_BUFFERED_ANSWER_BYTES = 65_536;
/** Wait beyond the request's budget for an answer that the server sends when the budget ends. */
export const ANSWER_GRACE_MS = 150;
/** Time in which all connections to a crashed server break, before its port is tried. */
export const CRASH_CHECK_DELAY_MS = 10;
/** Time for the port to refuse or take a connection; a server that does neither has not crashed. */
export const CRASH_CHECK_TIMEOUT_MS = 40;
/** Time for the caller's daemon to answer an offer: the longest round trip and a scheduling delay of its process. */
export const OFFER_TIMEOUT_MS = 500;
/** A request with less time left than this is refused: no server can use it. */
export const MINIMUM_BUDGET_MS = 5;
/** Retry delay sent to callers when no server is open and its return time is unknown. */
export const CLOSED_RETRY_AFTER_MS = 300;
/** Time for the server beside the daemon to answer a health check, including the wait for a slot. */
export const HEALTH_CHECK_TIMEOUT_MS = 1_000;
/** Backoff between health checks after a restart, with full jitter: a failed check is likely to fail again. */
export const CONFIRMATION_BASE_MS = 100;
export const CONFIRMATION_MAXIMUM_MS = 2_000;
/** Largest header block that is accepted from a server, including the status line. */
export const ANSWER_HEADER_LIMIT_BYTES = 65_536;
/**
 * Bytes of heads, interim answers, chunk sizes, extensions and trailers that are accepted for each byte of a body,
 * besides `ANSWER_HEADER_LIMIT_BYTES`. A chunk of one byte has five bytes of framing.
 */
export const FRAMING_BYTES_PER_BODY_BYTE = 8;
/** Bytes of an answer that are read at a time: the fewer, the longer they have taken. */
export const MINIMUM_SLICE_BYTES = 2_048;
export const MAXIMUM_SLICE_BYTES = 16_384;
/** Processor time of a slice above which the next one is shorter, so that others get their turn in between. */
export const LONG_SLICE_MS = 0.5;
/** Body bytes of answers to other requests that are dropped while a request waits for its own answer. */
export const FOREIGN_BODY_LIMIT_BYTES = 1_048_576;
/** Body bytes after which the rest of an answer that says that the request was not run is no longer read. */
export const DECLINED_BODY_LIMIT_BYTES = 65_536;
