/**
 * Limits the processor time that costly input takes, so that the event loop stays free for everything else.
 *
 * Load pattern: servers that cut their answers into tiny chunks, as fast as the connection takes them. Reading one such
 * answer without a limit takes all of the event loop, and requests, pings and versions wait for it.
 */

/** Share of the time that costly input may take, whatever its sources. */
const COSTLY_SHARE = 0.25;
/** Time in which an unused share is kept. */
const KEPT_MS = 8;

export class ProcessorShare {
    /** Time at which the work so far has taken its share and no more. */
    #freeAt = -Infinity;

    /** Records work that has taken `workMs`. */
    charge(workMs: number, now: number): void {
        this.#freeAt = Math.max(now - KEPT_MS, this.#freeAt) + workMs / COSTLY_SHARE;
    }

    /** Time until more work may be done, in milliseconds. */
    estimateDelay(now: number): number {
        return Math.max(0, this.#freeAt - now);
    }
}
