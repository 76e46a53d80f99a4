/** Time constant of the mean: long against one request, short against a burst. */
const TIME_CONSTANT_MS = 1_500;

/** Work that is offered to a server, in slots that it keeps busy on average. */
export class OfferedLoad {
    #slotMs = 0;
    #at = 0;

    /** Counts a request with its expected work. */
    add(workMs: number, now: number): void {
        this.#decay(now);
        this.#slotMs += workMs;
    }

    /** Slots that the offered work would keep busy. */
    read(now: number): number {
        this.#decay(now);
        return this.#slotMs / TIME_CONSTANT_MS;
    }

    #decay(now: number): void {
        this.#slotMs *= Math.exp(-Math.max(0, now - this.#at) / TIME_CONSTANT_MS);
        this.#at = now;
    }
}
