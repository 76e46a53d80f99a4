/** Maximum number of servers of a service that one daemon uses in each locality group. */
export const SUBSET_SIZE = 8;
/** Half-life of a reported load. */
export const LOAD_HALF_LIFE_MS = 2_000;
/** Utilization of a locality group above which requests spill over to the next one. */
export const SPILLOVER_START_UTILIZATION = 0.7;

/** Number of consecutive failures that ejects a server. */
export const EJECTION_CONSECUTIVE_FAILURES = 5;
/** Failure rate above which a server is ejected once it has `EJECTION_MINIMUM_RESULTS` results. */
export const EJECTION_FAILURE_RATE = 0.5;
export const EJECTION_MINIMUM_RESULTS = 10;
/** Half-life of the result counts. */
export const RESULT_HALF_LIFE_MS = 5_000;
export const EJECTION_BASE_MS = 5_000;
export const EJECTION_MAXIMUM_MS = 60_000;
/** Maximum share of a service's servers that may be ejected at the same time. */
export const EJECTION_MAXIMUM_SHARE = 0.5;

/** Weight of the newest latency in a server's exponential moving average. */
export const LATENCY_SMOOTHING = 0.2;
/** Weight of a server at the beginning of its slow start; 1 is the full weight. */
export const SLOW_START_MINIMUM_WEIGHT = 0.1;
/** Weight of a server whose health endpoint reports that it is unhealthy; it is used less, never removed. */
export const UNHEALTHY_WEIGHT = 0.5;
/** Time for which a server that refused a request as leaving is avoided; its member record spreads within it. */
export const LEAVING_AVOIDANCE_MS = 3_000;
/** Cost factor of a server that is reached through its owner, relative to one reached in one hop. */
export const RELAY_COST_FACTOR = 1.5;
