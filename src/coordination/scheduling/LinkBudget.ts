/**
 * Keeps the large answers of a backend server within a share of its VM's link.
 *
 * Load pattern: downloads that need more than the link of a weak VM carries. Without a budget all of them are late, and
 * so is every small answer and message that shares the link.
 */

/** Share of the link for large answers; the rest is for small answers, for messages of the mesh, which may take more, and for overhead. */
const LINK_SHARE = 0.8;
/** Share for small messages; with the one of large answers it is what `LinkPacer` lets through. */
const SMALL_SHARE = 0.1;
/** Time in which the share of small messages may be used all at once. */
const SMALL_BURST_MS = 250;
/** Time for which the link may be taken ahead, so that it is never idle while answers are being worked on. */
const MAXIMUM_AHEAD_MS = 250;
/** Time on the link that a large answer has to take at least for the link to have a budget. */
const NOTICEABLE_MS = 1;
/** Size from which an answer counts as large. */
export const LARGE_ANSWER_BYTES = 16_384;

export class LinkBudget {
    /** Bytes of large answers for each millisecond; infinite on a fast link, which needs no budget. */
    readonly bytesPerMs: number;
    /** Bytes of small messages for each millisecond that take nothing from large answers. */
    readonly #smallBytesPerMs: number;
    /** Time at which the link will have carried all answers that were admitted. */
    #freeAt = -Infinity;
    /** Bytes that small messages may still take of their own share. */
    #smallAllowance = Infinity;
    #smallRefilledAt = -Infinity;

    constructor(linkBytesPerMs = Infinity) {
        const bytesPerMs = linkBytesPerMs * LINK_SHARE;
        this.bytesPerMs = LARGE_ANSWER_BYTES / bytesPerMs < NOTICEABLE_MS ? Infinity : bytesPerMs;
        this.#smallBytesPerMs = linkBytesPerMs * SMALL_SHARE;
    }

    get isBottleneck(): boolean {
        return Number.isFinite(this.bytesPerMs);
    }

    /**
     * Takes the link for an answer of the own server, for which `estimateDelay` has to be 0, or for what was sent over it
     * besides: answers of other servers to callers of this VM, and copies of versions. What isn't large takes nothing.
     */
    take(answerBytes: number, now: number): void {
        this.#freeAt = Math.max(now, this.#freeAt) + this.computeDuration(answerBytes);
    }

    /** Takes the link for a small message, as far as these have used up their own share of it. */
    takeSmall(bytes: number, now: number): void {
        if (!this.isBottleneck) {
            return;
        }
        const refilled = this.#smallAllowance + (now - this.#smallRefilledAt) * this.#smallBytesPerMs;
        this.#smallAllowance = Math.min(SMALL_BURST_MS * this.#smallBytesPerMs, refilled) - bytes;
        this.#smallRefilledAt = now;
        if (this.#smallAllowance < 0) {
            this.#freeAt = Math.max(now, this.#freeAt) - this.#smallAllowance / this.bytesPerMs;
            this.#smallAllowance = 0;
        }
    }

    /** Takes or gives back the difference once the size of an answer is known that was expected to have another one. */
    correct(expectedBytes: number, answerBytes: number, now: number): void {
        const differenceMs = this.computeDuration(answerBytes) - this.computeDuration(expectedBytes);
        if (differenceMs !== 0) {
            this.#freeAt = Math.max(now, this.#freeAt) + differenceMs;
        }
    }

    /** Time until a request with an answer of this size may start, in milliseconds. */
    estimateDelay(answerBytes: number, now: number): number {
        return answerBytes < LARGE_ANSWER_BYTES ? 0 : Math.max(0, this.#freeAt - now - MAXIMUM_AHEAD_MS);
    }

    /** Time for which the link is taken by an answer, in milliseconds. */
    computeDuration(answerBytes: number): number {
        return answerBytes < LARGE_ANSWER_BYTES ? 0 : answerBytes / this.bytesPerMs;
    }
}
