/** Estimates at which rate requests of one tenant arrive at one daemon. */
import { MS_PER_SECOND } from "./QuotaConstants.js";

/** The faster average notices a wave within a second; the slower one keeps tenants that send a request every few seconds. */
const FAST_TIME_MS = 700;
const SLOW_TIME_MS = 3_000;

export class DemandEstimate {
    #fast = 0;
    #slow = 0;
    #at: number;
    /** Time of the last request. */
    lastAt = -Infinity;

    constructor(now: number) {
        this.#at = now;
    }

    record(now: number): void {
        this.#advance(now);
        this.#fast += MS_PER_SECOND / FAST_TIME_MS;
        this.#slow += MS_PER_SECOND / SLOW_TIME_MS;
        this.lastAt = now;
    }

    /** Requests a second: the higher average, so that demand rises at once and falls slowly. */
    read(now: number): number {
        this.#advance(now);
        // The faster average of a few requests is mostly noise: it counts only beyond its standard deviation.
        const noise = Math.sqrt(this.#fast * MS_PER_SECOND / (2 * FAST_TIME_MS));
        return Math.max(this.#fast - noise, this.#slow);
    }

    #advance(now: number): void {
        const elapsed = now - this.#at;
        if (elapsed > 0) {
            this.#fast *= Math.exp(-elapsed / FAST_TIME_MS);
            this.#slow *= Math.exp(-elapsed / SLOW_TIME_MS);
            this.#at = now;
        }
    }
}
