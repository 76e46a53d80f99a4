import { RetryBudget } from "../../coordination/retries/index.js";
import type { ReadMeshView } from "../../state/view/index.js";

/** Retry budgets of all services, by the settings in force. */
export class RetryBudgets {
    readonly #readView: ReadMeshView;
    readonly #budgets = new Map<string, RetryBudget>();

    constructor(readView: ReadMeshView) {
        this.#readView = readView;
    }

    recordRequest(service: string, now: number): void {
        this.#get(service, now).recordRequest(now);
    }

    takeRetry(service: string, now: number): boolean {
        const settings = this.#readView().configuration?.document.services[service]?.retry;
        return settings !== undefined && this.#get(service, now).takeRetry(settings, now);
    }

    #get(service: string, now: number): RetryBudget {
        let budget = this.#budgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(now);
            this.#budgets.set(service, budget);
        }
        return budget;
    }
}
