import type { Random } from "../../state/shared/index.js";

/** Yields an endless sequence of delays in milliseconds: exponential backoff with full jitter. */
export function* generateBackoffDelays(baseMs: number, maximumMs: number, random: Random): Generator<number, never> {
    let ceiling = baseMs;
    for (;;) {
        yield random() * ceiling;
        ceiling = Math.min(maximumMs, ceiling * 2);
    }
}
