/** Part of the exposure share that callers' daemons use; the rest covers requests that run before an order is known everywhere. */
export const SHARE_IN_USE = 0.8;
/** Part of the exposure slack that owners of candidates hand out; the rest covers the same requests and the rounding of shares. */
export const SLACK_IN_USE = 0.6;
/** Unused placements that a daemon keeps, so that candidates that open late aren't flooded. */
export const MAXIMUM_CREDIT = 3;
/** Bad share that a good version may have at least. */
export const MINIMUM_GOOD_SHARE = 0.02;
/** Bad share of a version that has to be rolled back. */
export const BAD_SHARE = 0.2;
/** Distance of the two shares where the present version has many bad answers itself. */
export const SHARE_DISTANCE = 0.18;
/** Work time, relative to that of the other servers, above which an answer is bad. */
export const SLOW_FACTOR = 2;
/** Time by which an answer has to be later besides: a process that waits for the processor measures that much too long. */
export const SLOW_MARGIN_MS = 15;
/**
 * Time within which one slow answer of a server counts, and further ones count neither way: a process without processor time
 * makes all that it runs slow at once, which says nothing of its version.
 */
export const SLOW_SPACING_MS = 300;
/** Factor by which work takes longer during a cold start, as stated by the users. */
export const COLD_START_FACTOR = 2;
/**
 * Value of the test that rejects a version. A good version passes it in fewer than 1 of 1,000 roll-outs with 400 answers on each of
 * 3 routes; a version with 40% bad answers is rejected after about 15.
 */
export const REJECTION_THRESHOLD = 12;
/** Value of the test above which a version isn't promoted, although it isn't rejected. */
export const DOUBT_THRESHOLD = 3;
/** The same at the last moment: 3 bad answers within 10, which 1 of 1,000 good versions that fail 2% has at that moment. */
export const LAST_DOUBT_THRESHOLD = 6;
/** Log-likelihood ratio at which a version counts as good: one that fails 20% of the requests gets there in 1 of 1,000 cases. */
export const ACCEPTANCE_RATIO = -Math.log(1_000);
/**
 * The same for services with few requests, with a number of answers: a version that fails 35% or more gets there in fewer than 1 of
 * 1,000 cases, while a good one with 2 bad answers of 40 does too.
 */
export const WEAK_ACCEPTANCE_RATIO = -1.5;
export const WEAK_ACCEPTANCE_ANSWERS = 17;
/** Answers of each busy route that are wanted before a promotion. */
export const WANTED_ANSWERS = 30;
/** Share of the answers from which a route counts as busy. */
export const BUSY_SHARE = 0.1;
/** Candidates that get requests during a trial. */
export const MINIMUM_ACTIVE_CANDIDATES = 2;
export const MAXIMUM_ACTIVE_CANDIDATES = 4;
/** Time that is left for the final steps of a promotion, and the same as a share of the order's time. */
export const FINAL_STEPS_MS = 3_000;
export const FINAL_STEPS_SHARE = 0.25;
/** Time before the order's end until which a trial with too few answers goes on. */
export const LATEST_DECISION_MS = 2_500;
/** Time before the order's end at which a promotion that isn't through is given up. */
export const ABORT_PROMOTION_MS = 600;
/** Time before the order's end at which the status is written, whatever still runs. */
export const FORCED_STATUS_MS = 300;
/** Longest wait for requests that run at rejected servers before the status is written. */
export const REJECTED_DRAIN_MS = 2_500;
/** Time of an order that names none that can be used. */
export const DEFAULT_FINISH_MS = 12_000;
/** Versions of a service that are remembered as serving. */
export const MAXIMUM_VERSIONS = 8;
/** Routes with sums of their own in a report. */
export const MAXIMUM_ROUTES = 64;
