/** Time beyond a request's limit in which an answer that is on its way arrives; callers wait no longer than this for a verdict. */
export const DEADLINE_GRACE_MS = 120;
/** Owners that are asked for a slot for one request. */
export const MAXIMUM_PLACEMENTS = 4;
/** Time that must be left for another server to be worth a try. */
export const MINIMUM_RETRY_TIME_MS = 40;
/** Time after which an answer may be called overdue at the earliest. */
export const MINIMUM_HEDGE_DELAY_MS = 100;
/** Pause named to callers while this daemon has no configuration or knows no server of a service. */
export const DEFAULT_RETRY_AFTER_MS = 300;
/** Bodies of all callers that are held at a time. */
export const BUFFERED_BODIES_LIMIT_BYTES = 96 * 1_048_576;
/** Header block that the parser accepts; the configuration's own limit is checked after it. */
export const PARSER_HEADER_LIMIT_BYTES = 131_072;
/** Highest share of a service's servers that may be ejected at a time. */
export const MAXIMUM_EJECTED_SHARE = 0.5;
/**
 * Part of the mesh's retry budget that one daemon uses. Budgets decay while the users' windows slide, and
 * calls that a repeated request makes count as repeats as well.
 */
export const RETRY_BUDGET_SHARE = 0.6;
/** Limits before a version is in force. */
export const INITIAL_HEADER_TIMEOUT_MS = 3_000;
export const INITIAL_IDLE_TIMEOUT_MS = 15_000;
/** Time after a planned stop began in which new requests are still served, since callers notice only then. */
export const DRAIN_ACCEPT_MS = 3_000;
/** Idle time after which a stopping daemon has no callers left. */
export const DRAIN_IDLE_MS = 600;
export const DRAIN_CHECK_INTERVAL_MS = 50;
/** Callers need two unanswered checks, a second apart, to go elsewhere. */
export const MINIMUM_DRAIN_MS = 2_300;
