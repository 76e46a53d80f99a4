/** A longer step between two readings means that the clock jumped or the process was paused. */
const MAXIMUM_STEP_MS = 2_000;

/**
 * Derives monotonic milliseconds from a wall clock that may jump. A step between two readings counts
 * as 0 to 2 s, so a jump expires no timeout. The clock must therefore be read more often than every
 * 2 s; the heartbeats do so.
 */
export function createMonotonicClock(readClock: () => number): () => number {
    let lastReading = readClock();
    let elapsed = 0;
    return () => {
        const reading = readClock();
        elapsed += Math.min(Math.max(reading - lastReading, 0), MAXIMUM_STEP_MS);
        lastReading = reading;
        return elapsed;
    };
}
