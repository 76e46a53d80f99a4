/** Time constant of the mean: long against one request, short against a burst. */
const TIME_CONSTANT_MS = 1_500;

/** Work that is offered to a server, in slots that it keeps busy on average. */
export class OfferedLoad {
    #workMs = 0;
    #decayedAt = 0;

    /** Counts a request with its expected work. */
    record(workMs: number, now: number): void {
        this.#decay(now);
        this.#workMs += workMs;
    }

    /** Slots that the offered work would keep busy. */
    getBusySlots(now: number): number {
        this.#decay(now);
        return this.#workMs / TIME_CONSTANT_MS;
    }

    #decay(now: number): void {
        this.#workMs *= Math.exp(-Math.max(0, now - this.#decayedAt) / TIME_CONSTANT_MS);
        this.#decayedAt = now;
    }
}
