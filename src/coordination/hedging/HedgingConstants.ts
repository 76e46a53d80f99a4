/** Answers of a route from which its latencies are estimated. */
export const MINIMUM_ANSWERS = 50;
/** Newest latencies of a route that are kept: the slowest twentieth of them is ten. */
export const KEPT_LATENCIES = 200;
/** Latencies after which the estimate of a route is computed anew. */
export const LATENCIES_PER_ESTIMATE = 10;
/** Lowest quantile of a route's latency after which its requests are hedged. */
export const LOWEST_QUANTILE = 0.95;
/** Window over which the share holds, as for the budget of retries. */
export const WINDOW_MS = 10_000;
/** Parts into which the window is divided for counting. */
export const SLICES = 20;
/** Part of the share that is used in a window; the rest covers the requests that a window loses with its oldest slice. */
export const USED_SHARE = 0.95;
/** Slices for which tokens are kept. Slow answers come in groups, of which one token at a time would hedge few. */
export const TOKEN_LIFETIME_SLICES = 6;
/** Tokens that are kept whatever the load, so that daemons with few requests can hedge. */
export const MINIMUM_DEPTH = 1;
/** Largest debt from repeated calls, which can't be prevented; without a limit, an outage would end hedging for long. */
export const MAXIMUM_DEBT = 20;
/** Probability of answering first from which a second server is asked. */
export const FIRST_ANSWER_PROBABILITY = 0.5;
/** Share of a service's slots in use from which it is short of capacity. */
export const BUSY_SHARE = 0.8;
/** Multiple of the median work time of the servers above which one of them is too slow for a hedge. */
export const SLOW_FACTOR = 1.5;
/** Latencies of a second server in relation to the expected one; work times are spread by about 0.4 of their mean. */
export const LATENCY_SPREAD = [0.6, 0.9, 1.4];
/** Age beyond which a load report doesn't show that a slot is free; owners report several times a second. */
export const LOAD_MAXIMUM_AGE_MS = 2_000;
/** Part of the hedge delay after which a request that could not be hedged is looked at again. */
export const RECHECK_FACTOR = 0.25;
export const MINIMUM_RECHECK_MS = 10;
/** Looks at one request; a hedge that late would rarely answer first. */
export const MAXIMUM_CHECKS = 8;
