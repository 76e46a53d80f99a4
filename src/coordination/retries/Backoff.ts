import type { Random } from "../../state/shared/index.js";

/** Yields delays in milliseconds: exponential growth with full jitter, without end. */
export function* generateBackoffDelays(baseMs: number, maximumMs: number, random: Random): Generator<number, never> {
    let ceiling = baseMs;
    for (;;) {
        yield random() * ceiling;
        ceiling = Math.min(maximumMs, ceiling * 2);
    }
}
