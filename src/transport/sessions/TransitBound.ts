/**
 * Bounds the time that messages of another daemon have spent on their way, although its clock has another origin. What
 * is said in a message that waited in a full link or at a paused process is older than it says.
 */
export class TransitBound {
    #smallestRoundTripMs = Infinity;
    /** Smallest difference between the clocks of both sides over all messages, which includes the shortest transit. */
    #smallestOffsetMs = Infinity;

    /** Shortest round trip so far in whole milliseconds, rounded up; undefined before the first one. */
    get roundTripMs(): number | undefined {
        return this.#smallestRoundTripMs === Infinity ? undefined : Math.ceil(this.#smallestRoundTripMs);
    }

    /** Records a round trip that either side has measured on this connection. */
    recordRoundTrip(ms: number): void {
        this.#smallestRoundTripMs = Math.min(this.#smallestRoundTripMs, ms);
    }

    /**
     * Returns the longest time that a message can have been on its way, from its time by the other clock; Infinity while no
     * round trip is known. The fastest message took at most the shortest round trip. The other clock may stand still and
     * `now` may go ahead, which make the result longer; neither may do the reverse.
     */
    measureTransit(sentAt: number, now: number): number {
        const offsetMs = now - sentAt;
        this.#smallestOffsetMs = Math.min(this.#smallestOffsetMs, offsetMs);
        return offsetMs - this.#smallestOffsetMs + this.#smallestRoundTripMs;
    }
}
