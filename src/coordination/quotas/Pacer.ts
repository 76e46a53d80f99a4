/** Spreads the requests that a quota allows over the window, apart from bursts, so that servers get them evenly. */
import { MS_PER_SECOND } from "./QuotaConstants.js";

/** Requests that may come at once at a daemon in any case; the window bounds them. */
const MINIMUM_DEPTH = 8;
/** Room beyond the quota's mean rate, so that requests refused for a moment are made up for. */
const RATE_HEADROOM = 1.05;

export class Pacer {
    #contents = 0;
    #depth = 0;
    #ratePerSecond = 0;
    #at: number;

    constructor(now: number) {
        this.#at = now;
    }

    /** `burstShare` is the part of the quota that may come at once. */
    setQuota(quota: number, burstShare: number, windowMs: number, now: number): void {
        this.advance(now);
        const depth = Math.min(quota, Math.max(MINIMUM_DEPTH, quota * burstShare));
        // The window decides what may proceed; added depth is usable at once.
        this.#contents = Math.max(0, Math.min(depth, this.#contents + Math.max(0, depth - this.#depth)));
        this.#depth = depth;
        this.#ratePerSecond = quota * RATE_HEADROOM / windowMs * MS_PER_SECOND;
    }

    advance(now: number): void {
        if (now > this.#at) {
            this.#contents = Math.min(
                this.#depth,
                this.#contents + this.#ratePerSecond * (now - this.#at) / MS_PER_SECOND,
            );
            this.#at = now;
        }
    }

    /** Time until the next request may come; 0 if it may now. */
    measureWait(): number {
        return this.#contents >= 1 || this.#ratePerSecond === 0
            ? 0
            : (1 - this.#contents) / this.#ratePerSecond * MS_PER_SECOND;
    }

    take(): void {
        this.#contents = Math.max(0, this.#contents - 1);
    }
}
