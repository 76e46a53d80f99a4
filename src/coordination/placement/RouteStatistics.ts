/** Weight of the newest observation in a route's means. */
const SMOOTHING = 0.05;
/** Deviations beyond the mean latency after which an answer counts as overdue. */
const HEDGE_DEVIATIONS = 4;
/** Answers before a route's latency is known well enough to call one overdue. */
const MINIMUM_ANSWERS = 20;
/** Assumed answer before the first was seen. */
const DEFAULT_ANSWER_BYTES = 2_000;
/** Time after which the highest time budget that callers gave may be replaced by a lower one. */
const BUDGET_RETENTION_MS = 5_000;

/** What a daemon has learnt of the requests of one route. */
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

    /** Latency beyond which an answer is probably lost; undefined while too little is known. */
    estimateHedgeDelay(): number | undefined {
        return this.#answers < MINIMUM_ANSWERS ? undefined : this.#meanMs + HEDGE_DEVIATIONS * this.#deviationMs;
    }

    /**
     * Time that the caller has already spent on earlier attempts of the same request: callers start
     * with the same time budget for each request of a route, and give the rest of it when they return.
     */
    recordTimeBudget(budgetMs: number, now: number): number {
        if (budgetMs >= this.#highestBudgetMs || now - this.#highestBudgetAt > BUDGET_RETENTION_MS) {
            this.#highestBudgetMs = budgetMs;
            this.#highestBudgetAt = now;
        }
        return this.#highestBudgetMs - budgetMs;
    }
}
