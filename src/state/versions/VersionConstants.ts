/** Largest part; the store accepts values up to 1 MB, and JSON text can grow by escaping. */
export const MAXIMUM_PART_BYTES = 512_000;

/**
 * Size from which resources are divided among more parts. A change rewrites each part that it touches,
 * so parts far below the limit keep writes small; fewer and larger ones would keep the manifest small.
 */
export const PART_TARGET_BYTES = 128_000;

/** Largest delta that a manifest carries; it crosses the billed link to each region with the manifest. */
export const MAXIMUM_DELTA_BYTES = 64_000;

/** Versions for which a daemon can compute a delta to the newest one. */
export const SNAPSHOT_HISTORY_LENGTH = 64;
