/** A tail above this size is moved to a sealed object, because each commit writes the whole tail. */
export const SEAL_THRESHOLD_BYTES = 64 * 1024;

/** Operations that one commit carries at most; keeps the object below the store's 1 MB limit. */
export const MAXIMUM_BATCH_BYTES = 256 * 1024;

/** One writer commits a shard this often on average: 32 shards stay within 320 writes/s at one holder each. */
export const COMMIT_INTERVAL_MS = 100;

/** Commits that may follow each other without the interval, so that a claim rarely waits at low rates. */
export const COMMIT_BURST = 4;

/** A cached head older than this is read again before a write, since a failed write costs the store more. */
export const HEAD_CACHE_TTL_MS = 1_000;

/** Rounds without an answer from the store after which new keys are refused until the next try. */
export const FAILURES_BEFORE_REFUSAL = 3;

/** Backoff between rounds, with full jitter. */
export const BACKOFF_BASE_MS = 20;
export const BACKOFF_MAXIMUM_MS = 1_000;

/** Interval at which a run in progress on another daemon is looked up; doubles up to the maximum. */
export const POLL_BASE_MS = 100;
export const POLL_MAXIMUM_MS = 1_000;

/** Settled attempts that wait for the store at most; beyond it the oldest stay claimed in the store. */
export const MAXIMUM_PENDING_OPERATIONS = 10_000;

/** Sealed objects that one lookup reads at the same time. */
export const CONCURRENT_SEALED_READS = 8;

/** Holders of a shard that are tried, in order, before a daemon commits directly. */
export const HOLDERS_PER_SHARD = 2;

/** A commit takes at most the commit interval and two calls to the store when the holder works. */
export const HOLDER_TIMEOUT_MS = 1_000;

/** Time for which a holder that failed is not tried again. */
export const HOLDER_SUSPENSION_MS = 5_000;

/** Operations that a holder lets wait; more are refused, and their owners go elsewhere. */
export const MAXIMUM_FORWARDED_OPERATIONS = 4_000;

/** Longest wait of a caller of `complete`, `release` or `abandon`; the record is still written later. */
export const SETTLE_TIMEOUT_MS = 1_000;
