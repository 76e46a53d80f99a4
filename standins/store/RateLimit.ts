/** Token bucket: admits `perSecond` requests on average and as many at once. */
export class RateLimit {
    private tokens: number;
    private filledAt: number;

    constructor(private readonly perSecond: number, now: number) {
        this.tokens = perSecond;
        this.filledAt = now;
    }

    /** Takes a token; false when none is left. */
    take(now: number): boolean {
        const refill = (now - this.filledAt) / 1_000 * this.perSecond;
        this.tokens = Math.min(this.perSecond, this.tokens + refill);
        this.filledAt = now;
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }
}
