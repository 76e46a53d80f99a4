/**
 * Limits the retries of one daemon so that all daemons together keep a budget which they share without messages.
 *
 * Load pattern: servers that shed much of what they get, and many daemons that each want to retry it. A daemon
 * allows retries up to a share of the requests of its own callers in the last window, and an equal part of the slack.
 * Both are sums over the same span, so the sum over all daemons keeps the limits of the mesh, however the requests
 * are spread over them. A share below 1 covers daemons that restart with empty counts and windows that begin while
 * the load falls.
 */

/** Retries that the whole mesh may send to one service. */
export interface SharedRetryLimits {
    /** Retries for each request of a caller, 0 to 1. */
    readonly ratio: number;
    /** Retries in one window besides. */
    readonly slack: number;
    readonly windowMs: number;
    /** Number of daemons among which the slack is divided; at least 1. */
    readonly daemons: number;
}

/** Part of the mesh's limits that the daemons use. */
export const SHARED_RETRY_BUDGET_SHARE = 0.7;
/** Part of the budget up to which requests are hedged. */
const HEDGED_PART = 0.5;
/** Number of parts into which the window is divided for counting. */
const SLICES = 20;

interface Slice {
    readonly index: number;
    requests: number;
    retries: number;
}

export class SharedRetryBudget {
    #slices: Slice[] = [];

    /** Records the first attempt of a caller's request. Calls of running requests don't raise the budget. */
    recordRequest(windowMs: number, now: number): void {
        this.#getSlice(windowMs, now).requests++;
    }

    /** Records a retry that is sent whatever the budget says, such as a call of a request that runs again. */
    recordRetry(windowMs: number, now: number): void {
        this.#getSlice(windowMs, now).retries++;
    }

    /** Takes one retry from the budget; false when it is exhausted. */
    takeRetry(limits: SharedRetryLimits, now: number): boolean {
        return this.#take(limits, 1, now);
    }

    /** Takes one hedge from the budget, of which half is left to retries after failures; false when there is none. */
    takeHedge(limits: SharedRetryLimits, now: number): boolean {
        return this.#take(limits, HEDGED_PART, now);
    }

    #take({ daemons, ratio, slack, windowMs }: SharedRetryLimits, part: number, now: number): boolean {
        const current = this.#getSlice(windowMs, now);
        let requests = 0;
        let retries = 0;
        for (const slice of this.#slices) {
            requests += slice.requests;
            retries += slice.retries;
        }
        if (retries + 1 > part * SHARED_RETRY_BUDGET_SHARE * (ratio * requests + slack / Math.max(1, daemons))) {
            return false;
        }
        current.retries++;
        return true;
    }

    /** Returns the present slice, and drops those that lie wholly before the window. */
    #getSlice(windowMs: number, now: number): Slice {
        const index = Math.floor(now / (windowMs / SLICES));
        let current = this.#slices.at(-1);
        if (current === undefined || current.index !== index) {
            current = { index, requests: 0, retries: 0 };
            this.#slices = [...this.#slices.filter(slice => slice.index >= index - SLICES), current];
        }
        return current;
    }
}
