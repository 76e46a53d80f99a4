/**
 * Keeps the requests that start at a backend server within the number a second that the server names.
 *
 * Load pattern: a server in need that all daemons use. Each request passes the daemon beside the server, so one token
 * bucket there counts the requests of all of them.
 */

const MS_PER_SECOND = 1_000;
/** Time for which unused starts are kept, so that the intervals between checks of the queue cost none. */
const BURST_MS = 250;
const MINIMUM_BURST = 2;
/** Rate for a server that names a lower limit: only its answers can tell that it takes more again. */
const MINIMUM_PER_SECOND = 0.5;

export class RateLimit {
    #perSecond: number | undefined;
    #tokens = 0;
    #refilledAt = 0;

    /** Requests a second that may start; undefined while the server names no limit. */
    get perSecond(): number | undefined {
        return this.#perSecond;
    }

    update(perSecond: number | undefined, now: number): void {
        this.#refill(now);
        this.#perSecond = perSecond === undefined ? undefined : Math.max(MINIMUM_PER_SECOND, perSecond);
        this.#tokens = Math.min(this.#tokens, this.#computeBurst());
    }

    /** Takes one start; false when the limit allows none yet. */
    take(now: number): boolean {
        if (this.#perSecond === undefined) {
            return true;
        }
        this.#refill(now);
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }

    /** Time until the next start, in milliseconds. */
    estimateDelay(now: number): number {
        if (this.#perSecond === undefined) {
            return 0;
        }
        this.#refill(now);
        return Math.max(0, 1 - this.#tokens) / this.#perSecond * MS_PER_SECOND;
    }

    #refill(now: number): void {
        if (this.#perSecond !== undefined) {
            const added = Math.max(0, now - this.#refilledAt) / MS_PER_SECOND * this.#perSecond;
            this.#tokens = Math.min(this.#computeBurst(), this.#tokens + added);
        }
        this.#refilledAt = now;
    }

    #computeBurst(): number {
        return Math.max(MINIMUM_BURST, (this.#perSecond ?? 0) * BURST_MS / MS_PER_SECOND);
    }
}
