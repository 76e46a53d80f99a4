/** Pairs of class and service with histograms of their own; later pairs share one. */
export const MAXIMUM_SERIES = 64;

/** Distinct counted events; later ones share one counter for each kind. */
export const MAXIMUM_COUNTERS = 512;

/** Label of the shared series beyond the limits. */
export const OVERFLOW_LABEL = "(other)";

/** Histograms record microseconds; two digits of a minute need about 10 KB a histogram. */
export const MICROSECONDS_PER_MS = 1_000;
export const MAXIMUM_LATENCY_MS = 60_000;
export const LATENCY_DIGITS = 2;

export const MAXIMUM_ATTEMPTS = 64;
export const ATTEMPTS_DIGITS = 1;

export const DEFAULT_FLUSH_INTERVAL_MS = 10_000;
export const METRICS_PREFIX = "papayaturn.";

/** Metrics are combined in datagrams that pass an Ethernet link unfragmented. */
export const MAXIMUM_DATAGRAM_BYTES = 1_400;
