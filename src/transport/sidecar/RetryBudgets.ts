/** The retry budget of each service, of which this daemon has its part. */
import { SharedRetryBudget } from "../../coordination/retries/index.js";
import type { SharedRetryLimits } from "../../coordination/retries/index.js";
import type { SidecarSettings } from "./SidecarSettings.js";

export interface RetryBudgetsOptions {
    readonly now: () => number;
    readSettings(): Pick<SidecarSettings, "retryRatio" | "retrySlack" | "retryWindowMs">;
    /** Number of daemons that share the budgets; undefined while it is not known. */
    countDaemons(): number | undefined;
    /** Called when a service's budget is exhausted. */
    onExhausted(service: string): void;
}

export class RetryBudgets {
    readonly #options: RetryBudgetsOptions;
    readonly #budgets = new Map<string, SharedRetryBudget>();

    constructor(options: RetryBudgetsOptions) {
        this.#options = options;
    }

    recordRequest(service: string): void {
        this.#getBudget(service).recordRequest(this.#options.readSettings().retryWindowMs, this.#options.now());
    }

    recordRetry(service: string): void {
        this.#getBudget(service).recordRetry(this.#options.readSettings().retryWindowMs, this.#options.now());
    }

    /** Takes one retry; false when the budget of the service is exhausted. */
    takeRetry(service: string): boolean {
        const isTaken = this.#getBudget(service).takeRetry(this.#readLimits(), this.#options.now());
        if (!isTaken) {
            this.#options.onExhausted(service);
        }
        return isTaken;
    }

    /** Takes one hedge; false when the rest of the budget is left to retries after failures. */
    takeHedge(service: string): boolean {
        return this.#getBudget(service).takeHedge(this.#readLimits(), this.#options.now());
    }

    #readLimits(): SharedRetryLimits {
        const { retryRatio, retrySlack, retryWindowMs } = this.#options.readSettings();
        const daemons = this.#options.countDaemons();
        return {
            daemons: daemons ?? 1,
            ratio: retryRatio,
            // Without the number of daemons, this one can't know its part of the slack.
            slack: daemons === undefined ? 0 : retrySlack,
            windowMs: retryWindowMs,
        };
    }

    #getBudget(service: string): SharedRetryBudget {
        let budget = this.#budgets.get(service);
        if (budget === undefined) {
            budget = new SharedRetryBudget();
            this.#budgets.set(service, budget);
        }
        return budget;
    }
}
