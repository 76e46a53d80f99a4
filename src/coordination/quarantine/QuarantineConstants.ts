/** Crashes, without a completed run in between, after which a request may be quarantined. */
export const QUARANTINE_CRASHES = 3;
/** Crashes, without a completed run in between, after which a request waits before it runs again. */
export const HOLD_CRASHES = 2;
/**
 * Time after its last crash for which such a request is held back: the crashed servers are back by then, so that one more
 * crash is the only one at a time.
 */
export const HOLD_MS = 5_000;
/**
 * Factor by which each earlier crash makes a request a likelier cause of the next one than a request that was never in a
 * crash: the inverse of the chance that a harmless request is in a crash.
 */
export const SUSPICION_PER_CRASH = 20;
/** Lowest probability, among the requests that ran in a crash, at which one is taken for its cause. */
export const QUARANTINE_PROBABILITY = 0.5;
/** Earlier crashes that are counted towards a probability; more would exceed the precision of its terms. */
export const MAXIMUM_COUNTED_CRASHES = 8;
/** Time for which a crash counts against the requests that ran in it. */
export const CRASH_RETENTION_MS = 600_000;
/** Time after which a quarantined request is tried again, since its servers may have been repaired meanwhile. */
export const QUARANTINE_RETENTION_MS = 3_600_000;
/** Crashes that are kept; the oldest is dropped first. */
export const MAXIMUM_CRASHES = 64;
/** Suspects that are kept of one crash. */
export const MAXIMUM_SUSPECTS_PER_CRASH = 32;
/** Verdicts that are kept; clearances are dropped before quarantines, and the oldest first. */
export const MAXIMUM_VERDICTS = 512;
