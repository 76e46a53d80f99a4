/** Timers of the mesh; tests replace them by virtual time. */
export interface Timers {
    /**
     * Runs `action` once after `delayMs`, when what has arrived until then was read; returns a function that cancels it. So an
     * answer that has come in time counts, however late this process is.
     */
    after(delayMs: number, action: () => void): () => void;
}

/** What timers need of an event loop that runs expired timers before it reads its sockets, as that of Node.js does. */
export interface EventLoop {
    startTimer(delayMs: number, action: () => void): () => void;
    /** Runs `action` after the sockets were read next. */
    runAfterReading(action: () => void): () => void;
}

export function createTimers({ runAfterReading, startTimer }: EventLoop): Timers {
    return {
        after(delayMs, action) {
            let cancel = startTimer(delayMs, () => {
                cancel = runAfterReading(action);
            });
            return () => cancel();
        },
    };
}

export const realTimers = createTimers({
    runAfterReading(action) {
        const immediate = setImmediate(action);
        return () => clearImmediate(immediate);
    },
    startTimer(delayMs, action) {
        const timer = setTimeout(action, delayMs);
        return () => clearTimeout(timer);
    },
});

/** Steps of a wait for another process; one that ends late counts like the others. */
const TIMEOUT_STEPS = 4;

/**
 * Runs `action` once another process has left this one without an answer for `timeoutMs`; returns a function that cancels it. Time
 * for which this process was held counts as one step of the wait at most: the question may have been sent, or the answer
 * read, only after it.
 */
export function scheduleTimeout(timers: Timers, timeoutMs: number, action: () => void): () => void {
    let cancel = (): void => undefined;
    const startStep = (step: number): void => {
        cancel = timers.after(timeoutMs / TIMEOUT_STEPS, () => {
            if (step < TIMEOUT_STEPS) {
                startStep(step + 1);
            }
            else {
                action();
            }
        });
    };
    startStep(1);
    return () => cancel();
}

/** Resolves after `delayMs`. */
export function sleepFor(timers: Timers, delayMs: number): Promise<void> {
    return new Promise(resolve => void timers.after(delayMs, resolve));
}

/** Resolves with the promise's value, or with undefined if it rejects or has no result within `timeoutMs`. */
export function withTimeout<T>(timers: Timers, timeoutMs: number, promise: Promise<T>): Promise<T | undefined> {
    return new Promise(resolve => {
        const cancel = scheduleTimeout(timers, timeoutMs, () => resolve(undefined));
        const settle = (value: T | undefined): void => {
            cancel();
            resolve(value);
        };
        promise.then(settle, () => settle(undefined));
    });
}

/** Calls `send` with a signal that is aborted once the other process has left this one without an answer for `timeoutMs`. */
export async function withTimeoutSignal<T>(
    timers: Timers,
    timeoutMs: number,
    send: (signal: AbortSignal) => Promise<T>,
): Promise<T> {
    const controller = new AbortController();
    const cancel = scheduleTimeout(
        timers,
        timeoutMs,
        () => controller.abort(new DOMException("no answer in time", "TimeoutError")),
    );
    try {
        return await send(controller.signal);
    }
    finally {
        cancel();
    }
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
