/** Token bucket: at most `perSecond` requests per second on average, with bursts of up to `perSecond` requests. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    constructor(private readonly perSecond: number, now: number) {
        this.tokens = perSecond;
        this.refilledAt = now;
    }

    /** Takes one token; false if none is left. */
    tryTake(now: number): boolean {
        const refill = (now - this.refilledAt) / 1_000 * this.perSecond;
        this.tokens = Math.min(this.perSecond, this.tokens + refill);
        this.refilledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
