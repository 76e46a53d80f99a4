/** Token bucket: at most `perSecond` calls per second on average, with bursts of up to `perSecond` calls. */
export class TokenBucket {
    #tokens: number;
    #refilledAt: number;

    constructor(private readonly perSecond: number, now: number) {
        this.#tokens = perSecond;
        this.#refilledAt = now;
    }

    /** Takes one token; false when none is left. */
    tryTake(now: number): boolean {
        const refill = (now - this.#refilledAt) / 1000 * this.perSecond;
        this.#tokens = Math.min(this.perSecond, this.#tokens + Math.max(0, refill));
        this.#refilledAt = now;
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens--;
        return true;
    }
}
