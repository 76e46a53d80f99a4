/** Time constant with which the counts of requests and retries decay. */
const BUDGET_WINDOW_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** Retries that the document allows for a service. */
export interface RetryBudgetSettings {
    /** Share of requests that may be retries, 0 to 1. */
    readonly budget: number;
    /** Retries per second that are allowed whatever the number of requests. */
    readonly minimumPerSecond: number;
}

/**
 * Limits retries to a share of recent requests, so that retries don't overload a failing service.
 * Counts decay exponentially with the time constant `BUDGET_WINDOW_MS`.
 */
export class RetryBudget {
    #requests = 0;
    #retries = 0;
    #decayedAt: number;

    constructor(now: number) {
        this.#decayedAt = now;
    }

    recordRequest(now: number): void {
        this.#decay(now);
        this.#requests++;
    }

    /** Takes one retry from the budget; false when it is exhausted. */
    takeRetry(settings: RetryBudgetSettings, now: number): boolean {
        this.#decay(now);
        const minimum = settings.minimumPerSecond * BUDGET_WINDOW_MS / MS_PER_SECOND;
        if (this.#retries + 1 > Math.max(minimum, settings.budget * this.#requests)) {
            return false;
        }
        this.#retries++;
        return true;
    }

    #decay(now: number): void {
        const elapsed = now - this.#decayedAt;
        if (elapsed <= 0) {
            return;
        }
        const factor = Math.exp(-elapsed / BUDGET_WINDOW_MS);
        this.#requests *= factor;
        this.#retries *= factor;
        this.#decayedAt = now;
    }
}
