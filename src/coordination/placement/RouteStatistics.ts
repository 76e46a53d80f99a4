/** Weight of the newest sample in the exponential moving average of answer sizes. */
const SMOOTHING = 0.05;
/** Size assumed before the first answer. */
const DEFAULT_ANSWER_BYTES = 2_000;
/** Time after which a lower time budget may replace the highest one seen. */
const BUDGET_RETENTION_MS = 5_000;

/** Statistics that a daemon keeps of the requests of one route. */
export class RouteStatistics {
    #answers = 0;
    #answerBytes: number | undefined;
    #highestBudgetMs = 0;
    #highestBudgetAt = -Infinity;

    get answerBytes(): number {
        return this.#answerBytes ?? DEFAULT_ANSWER_BYTES;
    }

    recordAnswer(bytes: number): void {
        this.#answers++;
        const weight = Math.max(SMOOTHING, 1 / this.#answers);
        this.#answerBytes = this.answerBytes + (bytes - this.answerBytes) * weight;
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
