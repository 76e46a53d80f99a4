/** Maximum size of a part; the store accepts values up to 1 MB, and JSON text can grow by escaping. */
export const MAXIMUM_PART_BYTES = 512_000;

/**
 * Size above which resources are divided among more parts. A change rewrites each part that it touches, so
 * parts far below the limit keep writes small; fewer and larger parts would keep the manifest small instead.
 */
export const PART_TARGET_BYTES = 128_000;

/** Maximum size of a delta in a manifest, with which it crosses the billed link to each region. */
export const MAXIMUM_DELTA_BYTES = 64_000;

/** Number of versions, including the newest, for which a daemon can compute a delta to the newest one. */
export const SNAPSHOT_HISTORY_LENGTH = 64;
