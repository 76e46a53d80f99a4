import type { Random } from "../../state/shared/index.js";

/**
 * Yields an endless sequence of delays in milliseconds: exponential backoff with full jitter. The longest delay is read
 * before each one, since what it depends on may become known during the retries.
 */
export function* generateBackoffDelays(
    baseMs: number,
    readMaximumMs: () => number,
    random: Random,
): Generator<number, never> {
    let ceiling = baseMs;
    for (;;) {
        yield random() * ceiling;
        ceiling = Math.min(readMaximumMs(), ceiling * 2);
    }
}
