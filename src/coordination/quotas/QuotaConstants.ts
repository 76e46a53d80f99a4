/** Time for which a loan of a daemon's share counts, from the sending of the message that makes it. */
export const LOAN_TERM_MS = 3_000;
/** Time for which a grant counts; shorter than a loan, so that grants end before the loans behind them. */
export const GRANT_TERM_MS = 1_500;
/**
 * Time by which whoever uses a share stops before its owner takes it back. Each of the two clocks may have missed up to
 * 50 ms of suspension (`AgeClock`).
 */
export const CLOCK_MARGIN_MS = 100;
/** Time after a start until the other daemons count this one. */
export const MEMBER_SPREAD_MS = 2_000;
/** Time for which the largest number of daemons seen still divides the limits, so that no share grows before the others shrink. */
export const SHARE_GROWTH_DELAY_MS = 5_000;

export const MS_PER_SECOND = 1_000;
