/** Timers of the mesh; tests replace them by virtual time. */
export interface Timers {
    /** Runs `action` once after `delayMs`; returns a function that cancels it. */
    after(delayMs: number, action: () => void): () => void;
}

export const realTimers: Timers = {
    after(delayMs, action) {
        const timer = setTimeout(action, delayMs);
        return () => clearTimeout(timer);
    },
};

/** Resolves after `delayMs`. */
export function sleepFor(timers: Timers, delayMs: number): Promise<void> {
    return new Promise(resolve => void timers.after(delayMs, resolve));
}

/** Resolves with the promise's value, or with undefined if it rejects or `timeoutMs` elapses. */
export function withTimeout<T>(timers: Timers, timeoutMs: number, promise: Promise<T>): Promise<T | undefined> {
    return new Promise(resolve => {
        const cancel = timers.after(timeoutMs, () => resolve(undefined));
        const settle = (value: T | undefined): void => {
            cancel();
            resolve(value);
        };
        promise.then(settle, () => settle(undefined));
    });
}

/** Runs `action` every `intervalMs`, first after `initialDelayMs`; returns a function that stops it. */
export function scheduleRepeating(
    timers: Timers,
    intervalMs: () => number,
    initialDelayMs: number,
    action: () => void,
): () => void {
    let cancel = timers.after(initialDelayMs, run);
    function run(): void {
        cancel = timers.after(intervalMs(), run);
        action();
    }
    return () => cancel();
}
