/** Tells a lack of processor time from a full link and a suspended VM: late timers, late pings, a steady clock that stood still. */
import type { PartLogger } from "../logging/index.js";

/** Lateness of a timer, or duration of a round trip, from which the log has a line. */
const REPORTED_DELAY_MS = 500;
/** Shortest time between two lines on late round trips. */
const ROUND_TRIP_REPORT_INTERVAL_MS = 1_000;

export class DelayMonitor {
    readonly #log: PartLogger;
    readonly #countBufferedBytes: () => number;
    /** Longest delays since they were last taken. */
    #longestDelayMs = 0;
    #longestRoundTripMs = 0;
    #roundTripReportedAt = -Infinity;
    #lostMs = 0;

    constructor(log: PartLogger, countBufferedBytes: () => number) {
        this.#log = log;
        this.#countBufferedBytes = countBufferedBytes;
    }

    /** Time since the start that the steady clock has not counted. */
    get lostMs(): number {
        return this.#lostMs;
    }

    /** Records how late a timer has run. */
    recordTimer(delayMs: number): void {
        this.#longestDelayMs = Math.max(this.#longestDelayMs, delayMs);
        if (delayMs > REPORTED_DELAY_MS) {
            this.#log.warn(`timers were ${Math.round(delayMs)} ms late.`, { delayMs: Math.round(delayMs) });
        }
    }

    /** Records time that the steady clock has not counted, as the time of day tells. */
    recordLostTime(lostMs: number): void {
        this.#lostMs += lostMs;
        this.#log.warn(
            `the time of day went ${
                Math.round(lostMs)
            } ms further than the steady clock: the VM was suspended, or its time was set.`,
            { lostMs: Math.round(lostMs) },
        );
    }

    /** Records the round trip of a ping; one that is late while timers are on time shows a full link. */
    recordRoundTrip(peer: string, roundTripMs: number, now: number): void {
        this.#longestRoundTripMs = Math.max(this.#longestRoundTripMs, roundTripMs);
        const isReported = now - this.#roundTripReportedAt <= ROUND_TRIP_REPORT_INTERVAL_MS;
        if (roundTripMs > REPORTED_DELAY_MS && !isReported) {
            this.#roundTripReportedAt = now;
            this.#log.warn(`a ping of ${peer} was answered after ${Math.round(roundTripMs)} ms.`, {
                bufferedBytes: this.#countBufferedBytes(),
                longestTimerDelayMs: Math.round(this.#longestDelayMs),
                peer,
                roundTripMs: Math.round(roundTripMs),
            });
        }
    }

    /** Returns the longest delay of a timer since the last call. */
    takeLongestDelay(): number {
        const delayMs = this.#longestDelayMs;
        this.#longestDelayMs = 0;
        return delayMs;
    }

    /** Returns the longest round trip since the last call. */
    takeLongestRoundTrip(): number {
        const roundTripMs = this.#longestRoundTripMs;
        this.#longestRoundTripMs = 0;
        return roundTripMs;
    }
}
