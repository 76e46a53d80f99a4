/**
 * Tells when a daemon lacks processor time, and what it does about that. Its event loop has no idle time then: what arrives lies unread
 * in sockets, and connections wait to be accepted, while timers and queues look normal.
 */

/** One sample of an event loop. */
export interface LoopSample {
    /** Share of the time since the last sample in which the event loop wasn't idle. */
    readonly utilization: number;
    /** Duration of one iteration of the event loop. */
    readonly iterationMs: number;
}

/** Utilization from which an event loop counts as saturated. */
const SATURATED_UTILIZATION = 0.97;
/** Saturated samples in a row from which it lasts; a single one may be one large version that is decoded. */
const SATURATED_SAMPLES = 2;
/** Time after the last of these for which the daemon counts as overloaded, so that it doesn't change its mind with each sample. */
const OVERLOADED_MS = 1_000;
/** Time for which callers are kept away, longer since they come back all at once. */
const UNREADY_MS = 2_000;
/** Iterations that a request of another daemon takes: it is read, placed, offered and answered in one each. */
const ITERATIONS_PER_REQUEST = 4;
/** Samples of which the longest iteration counts. */
const RECENT_SAMPLES = 4;
/** Shortest time between two resets of connections that wait to be accepted; in between some of them are served. */
const RESET_INTERVAL_MS = 250;

export class OverloadDetector {
    #saturatedSamples = 0;
    #overloadedAt = -Infinity;
    #resetAt = -Infinity;
    #recentIterationsMs: readonly number[] = [];

    recordSample({ iterationMs, utilization }: LoopSample, now: number): void {
        this.#recentIterationsMs = [...this.#recentIterationsMs, iterationMs].slice(-RECENT_SAMPLES);
        this.#saturatedSamples = utilization >= SATURATED_UTILIZATION ? this.#saturatedSamples + 1 : 0;
        if (this.#saturatedSamples >= SATURATED_SAMPLES) {
            this.#overloadedAt = now;
        }
    }

    isOverloaded(now: number): boolean {
        return now - this.#overloadedAt < OVERLOADED_MS;
    }

    /** Whether callers of this VM are better served by other daemons. */
    shouldAvoidCallers(now: number): boolean {
        return now - this.#overloadedAt < UNREADY_MS;
    }

    /** Time that a request of another daemon loses here for want of processor time; undefined while there is some. */
    estimateDelayMs(now: number): number | undefined {
        return this.isOverloaded(now) ? ITERATIONS_PER_REQUEST * Math.max(0, ...this.#recentIterationsMs) : undefined;
    }

    /**
     * Whether the connections that wait to be accepted should be reset now, after a request whose caller had left before it
     * was read: those behind it have waited as long or will have, and each would cost as much as one that can be served.
     */
    tryReset(now: number): boolean {
        if (!this.isOverloaded(now) || now - this.#resetAt < RESET_INTERVAL_MS) {
            return false;
        }
        this.#resetAt = now;
        return true;
    }
}
