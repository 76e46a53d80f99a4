/** Servers of a service that one daemon uses in each locality group. */
export const SUBSET_SIZE = 8;
/** Half-life of a reported load. */
export const LOAD_HALF_LIFE_MS = 2_000;
/** Utilization from which a nearer group gives requests away. */
export const SPILLOVER_START_UTILIZATION = 0.7;

/** Consecutive failures that eject a server. */
export const EJECTION_CONSECUTIVE_FAILURES = 5;
/** Share of failures that ejects a server once it has `EJECTION_MINIMUM_RESULTS` results. */
export const EJECTION_FAILURE_RATE = 0.5;
export const EJECTION_MINIMUM_RESULTS = 10;
/** Half-life of the counted results. */
export const RESULT_HALF_LIFE_MS = 5_000;
export const EJECTION_BASE_MS = 5_000;
export const EJECTION_MAXIMUM_MS = 60_000;
/** Highest share of a service's servers that may be ejected at a time. */
export const EJECTION_MAXIMUM_SHARE = 0.5;

/** Weight of the newest latency in a server's mean. */
export const LATENCY_SMOOTHING = 0.2;
/** Share of a full weight with which a server starts. */
export const SLOW_START_MINIMUM_WEIGHT = 0.1;
/** Weight of a server whose health endpoint reports trouble; it is used less, never removed. */
export const UNHEALTHY_WEIGHT = 0.5;
/** Time for which a server that said it is leaving is avoided; its member record spreads within this time. */
export const LEAVING_AVOIDANCE_MS = 3_000;
/** How much dearer a server through its owner counts than one in one hop. */
export const RELAY_COST_FACTOR = 1.5;
