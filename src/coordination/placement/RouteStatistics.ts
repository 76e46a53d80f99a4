/** Weight of the newest sample in a route's exponential moving averages. */
const SMOOTHING = 0.05;
/** Mean deviations above the mean latency after which a request is hedged. */
const HEDGE_DEVIATIONS = 4;
/** Minimum number of answers for an estimate of the hedge delay. */
const MINIMUM_ANSWERS = 20;
/** Size assumed before the first answer. */
const DEFAULT_ANSWER_BYTES = 2_000;
/** Time after which a lower time budget may replace the highest one seen. */
const BUDGET_RETENTION_MS = 5_000;

/** Statistics that a daemon keeps of the requests of one route. */
export class RouteStatistics {
    #answers = 0;
    #meanMs = 0;
    #deviationMs = 0;
    #answerBytes: number | undefined;
    #highestBudgetMs = 0;
    #highestBudgetAt = -Infinity;

    get answerBytes(): number {
        return this.#answerBytes ?? DEFAULT_ANSWER_BYTES;
    }

    recordAnswer(latencyMs: number, bytes: number): void {
        this.#answers++;
        const weight = Math.max(SMOOTHING, 1 / this.#answers);
        this.#deviationMs += (Math.abs(latencyMs - this.#meanMs) - this.#deviationMs) * weight;
        this.#meanMs += (latencyMs - this.#meanMs) * weight;
        this.#answerBytes = this.answerBytes + (bytes - this.answerBytes) * weight;
    }

    /** Latency after which an answer is probably lost; undefined until there are enough answers. */
    estimateHedgeDelay(): number | undefined {
        return this.#answers < MINIMUM_ANSWERS ? undefined : this.#meanMs + HEDGE_DEVIATIONS * this.#deviationMs;
    }

    /**
     * Records a caller's time budget and returns the time it has spent on earlier attempts of the request:
     * callers start with the same budget for each request of a route and send the remainder with a retry.
     */
    recordTimeBudget(budgetMs: number, now: number): number {
        if (budgetMs >= this.#highestBudgetMs || now - this.#highestBudgetAt > BUDGET_RETENTION_MS) {
            this.#highestBudgetMs = budgetMs;
            this.#highestBudgetAt = now;
        }
        return this.#highestBudgetMs - budgetMs;
    }
}
