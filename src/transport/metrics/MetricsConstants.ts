/** Maximum number of pairs of class and service with separate histograms; further pairs share one series. */
export const MAXIMUM_SERIES = 64;

/** Maximum number of distinct counted events; further ones share one counter for each kind. */
export const MAXIMUM_COUNTERS = 512;

/** Label of the shared series and counters beyond these limits. */
export const OVERFLOW_LABEL = "(other)";

/** Latency histograms record microseconds; two significant digits up to one minute take about 10 KB each. */
export const MICROSECONDS_PER_MS = 1_000;
export const MAXIMUM_LATENCY_MS = 60_000;
export const LATENCY_DIGITS = 2;

export const MAXIMUM_ATTEMPTS = 64;
export const ATTEMPTS_DIGITS = 1;

export const DEFAULT_FLUSH_INTERVAL_MS = 10_000;
export const METRICS_PREFIX = "papayaturn.";

/** Maximum size of a datagram of several metrics, which an Ethernet link carries unfragmented. */
export const MAXIMUM_DATAGRAM_BYTES = 1_400;
