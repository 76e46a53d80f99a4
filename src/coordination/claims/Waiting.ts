import type { Random } from "../../state/shared/index.js";

/** Resolves after `ms` milliseconds, or earlier when the signal aborts; never rejects. */
export type Wait = (ms: number, signal?: AbortSignal) => Promise<void>;

/** Returns a delay with full jitter: uniform from 0 to `base` doubled for each earlier failure. */
export function computeBackoffDelay(failures: number, baseMs: number, maximumMs: number, random: Random): number {
    return random() * Math.min(maximumMs, baseMs * 2 ** Math.min(failures, 30));
}

/** Yields `baseMs`, doubled at each step up to `maximumMs`, indefinitely. */
export function* generatePollDelays(baseMs: number, maximumMs: number): Generator<number, never> {
    for (let delay = baseMs;; delay = Math.min(maximumMs, delay * 2)) {
        yield delay;
    }
}

/** Abort reason; without one, each abort would create an error with a stack trace. */
const ABORT_REASON = "ended";

/** Resolves with the promise's value, or with undefined as soon as the signal aborts. */
export async function awaitUnlessAborted<T>(
    promise: Promise<T>,
    signal: AbortSignal | undefined,
): Promise<T | undefined> {
    if (signal === undefined) {
        return promise;
    }
    if (signal.aborted) {
        return undefined;
    }
    let cancel: () => void = () => undefined;
    const aborted = new Promise<undefined>(resolve => {
        cancel = () => resolve(undefined);
        signal.addEventListener("abort", cancel, { once: true });
    });
    return Promise.race([promise, aborted]).finally(() => signal.removeEventListener("abort", cancel));
}

/** A signal that aborts when a deadline passes or another signal aborts. */
export interface Deadline {
    readonly signal: AbortSignal;
    /** Stops the timer. */
    clear(): void;
}

/** Starts a timer of `remainingMs`; zero or less aborts at once. */
export function startDeadline(remainingMs: number, wait: Wait, signal: AbortSignal | undefined): Deadline {
    const expired = new AbortController();
    const cleared = new AbortController();
    const forward = (): void => expired.abort(ABORT_REASON);
    if (remainingMs <= 0 || signal?.aborted) {
        forward();
    }
    else {
        signal?.addEventListener("abort", forward, { once: true });
        void wait(remainingMs, cleared.signal).then(forward);
    }
    return {
        signal: expired.signal,
        clear: () => {
            signal?.removeEventListener("abort", forward);
            cleared.abort(ABORT_REASON);
        },
    };
}
