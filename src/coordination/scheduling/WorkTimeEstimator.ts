/** Weight of the newest work time in a mean; about the last ten requests count. */
const WORK_SMOOTHING = 0.1;
/** Assumed before any request of a server has ended; a typical page or record of the users' services. */
const INITIAL_WORK_MS = 150;

/** Mean work times of one backend server, over all requests and for each route. */
export class WorkTimeEstimator {
    readonly #byRoute = new Map<string, number>();
    #meanMs: number | undefined;

    /** Mean over all routes. */
    get meanMs(): number {
        return this.#meanMs ?? INITIAL_WORK_MS;
    }

    estimate(route: string): number {
        return this.#byRoute.get(route) ?? this.meanMs;
    }

    record(route: string, workMs: number): void {
        this.#meanMs = updateMean(this.#meanMs, workMs);
        this.#byRoute.set(route, updateMean(this.#byRoute.get(route), workMs));
    }

    /** Takes in work that was given up after `workMs`: it counts only where the estimate was lower. */
    recordUnfinished(route: string, workMs: number): void {
        if (workMs > this.estimate(route)) {
            this.record(route, workMs);
        }
    }

    /** Forgets what was learnt, for example when another server took the address. */
    reset(): void {
        this.#byRoute.clear();
        this.#meanMs = undefined;
    }
}

function updateMean(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + (value - mean) * WORK_SMOOTHING;
}
