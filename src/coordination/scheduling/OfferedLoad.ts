/** Time constant of the exponential moving average; longer than one request, shorter than a burst. */
const TIME_CONSTANT_MS = 1_500;

/** Exponential moving average of the load offered to a server, in busy slots. */
export class OfferedLoad {
    #workMs = 0;
    #decayedAt = 0;

    /** Records the arrival of a request with its expected work time. */
    record(workMs: number, now: number): void {
        this.#decay(now);
        this.#workMs += workMs;
    }

    /** Number of slots that the offered load keeps busy. */
    getBusySlots(now: number): number {
        this.#decay(now);
        return this.#workMs / TIME_CONSTANT_MS;
    }

    #decay(now: number): void {
        this.#workMs *= Math.exp(-Math.max(0, now - this.#decayedAt) / TIME_CONSTANT_MS);
        this.#decayedAt = now;
    }
}
