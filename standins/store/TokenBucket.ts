/** Token bucket: admits `perSecond` requests on average and as many at once. */
export class TokenBucket {
    private tokens: number;
    private refilledAt: number;

    constructor(private readonly perSecond: number, now: number) {
        this.tokens = perSecond;
        this.refilledAt = now;
    }

    /** Takes a token; false when none is left. */
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
