/** A tail above this size is moved to a sealed object, because each commit writes the whole tail. */
export const SEAL_THRESHOLD_BYTES = 64 * 1024;

/** Maximum size of the operations in one commit; keeps the object below the store's 1 MB limit. */
export const MAXIMUM_BATCH_BYTES = 256 * 1024;

/** Average commit interval of one writer to a shard; 32 shards with one holder each make at most 320 writes/s. */
export const COMMIT_INTERVAL_MS = 100;

/** Commits that may be made in a burst without the interval, so that a claim rarely waits at low rates. */
export const COMMIT_BURST = 4;

/** A cached head older than this is read again before a write, because a failed write costs the store more. */
export const HEAD_CACHE_TTL_MS = 1_000;

/** Failed commit rounds since the last success after which new claims are refused until the next round. */
export const FAILURES_BEFORE_REFUSAL = 3;

/** Backoff between failed commit rounds, with full jitter. */
export const BACKOFF_BASE_MS = 20;
export const BACKOFF_MAXIMUM_MS = 1_000;

/** Interval at which an attempt in progress on another daemon is polled; doubles up to the maximum. */
export const POLL_BASE_MS = 100;
export const POLL_MAXIMUM_MS = 1_000;

/**
 * Pending operations of a shard. At this limit each new operation drops the oldest settlement, whose key
 * then stays claimed in the store.
 */
export const MAXIMUM_PENDING_OPERATIONS = 10_000;

/** Sealed objects that one lookup reads concurrently. */
export const CONCURRENT_SEALED_READS = 8;

/** Holders of a shard that are tried, in order, before a daemon commits directly. */
export const HOLDERS_PER_SHARD = 2;

/** A commit on a working holder takes at most the commit interval and two calls to the store. */
export const HOLDER_TIMEOUT_MS = 1_000;

/** Time for which a failed holder is not tried again. */
export const HOLDER_SUSPENSION_MS = 5_000;

/** Forwarded operations that a holder queues; more are refused, and their owners commit elsewhere. */
export const MAXIMUM_FORWARDED_OPERATIONS = 4_000;

/** Longest wait of a caller of `complete`, `release` or `abandon`; the write itself continues after it. */
export const SETTLE_TIMEOUT_MS = 1_000;
