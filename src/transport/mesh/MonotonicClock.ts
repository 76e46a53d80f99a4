/** A longer step between two readings is a clock jump or a pause of the process. */
const MAXIMUM_STEP_MS = 2_000;

/**
 * Milliseconds that pass between readings of a clock that may jump. Intervals measured with it are
 * never negative and never long because of a jump, so a jump expires nothing. It must be read more
 * often than every 2 s; the heartbeats do.
 */
export function createMonotonicClock(readClock: () => number): () => number {
    let last = readClock();
    let elapsed = 0;
    return () => {
        const present = readClock();
        elapsed += Math.min(Math.max(present - last, 0), MAXIMUM_STEP_MS);
        last = present;
        return elapsed;
    };
}
