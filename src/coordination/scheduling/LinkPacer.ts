/**
 * Limits the rate at which large answers leave a VM to what small messages leave of its link, so that requests, versions and
 * pings wait on the link for one part of an answer at most.
 *
 * Load pattern: several large answers that are ready at the same time on a VM with a weak link, beside small messages that
 * alone take a fifth of it.
 */
import { LARGE_ANSWER_BYTES } from "./LinkBudget.js";

/** Share of the link for all that is counted; the rest is for the overhead of connections and packets. */
const PACED_SHARE = 0.9;
/** Time that the link may take for one part of an answer, for which other messages wait. */
const PART_MS = 40;
/** Smaller parts would cost more processor time and overhead than they save waits. */
const MINIMUM_PART_BYTES = 4_096;
/** Bytes that may be sent ahead, after a time without large answers. */
const BURST_BYTES = LARGE_ANSWER_BYTES;

export class LinkPacer {
    readonly #bytesPerMs: number;
    /** Largest part of an answer that is sent at once. */
    readonly partBytes: number;
    /** Negative while what was sent is not carried yet. */
    #allowance = BURST_BYTES;
    #refilledAt = 0;

    constructor(linkBytesPerMs: number) {
        this.#bytesPerMs = linkBytesPerMs * PACED_SHARE;
        this.partBytes = Math.max(MINIMUM_PART_BYTES, Math.floor(linkBytesPerMs * PART_MS));
    }

    /** Takes the link for a part of an answer; false while earlier parts occupy it. */
    take(bytes: number, now: number): boolean {
        if (this.estimateDelay(now) > 0) {
            return false;
        }
        this.#allowance -= bytes;
        return true;
    }

    /** Takes the link for bytes that were sent without waiting. */
    charge(bytes: number, now: number): void {
        this.#refill(now);
        this.#allowance -= bytes;
    }

    /** Time until the next part may be sent, in milliseconds. */
    estimateDelay(now: number): number {
        this.#refill(now);
        return this.#allowance >= 0 ? 0 : -this.#allowance / this.#bytesPerMs;
    }

    #refill(now: number): void {
        const added = Math.max(0, now - this.#refilledAt) * this.#bytesPerMs;
        this.#allowance = Math.min(BURST_BYTES, this.#allowance + added);
        this.#refilledAt = now;
    }
}
