/** Weight of the newest sample in a moving average, which covers about the last ten requests. */
const WORK_SMOOTHING = 0.1;
/** Estimate before the first request of a server has ended: a typical page or record of the users' services. */
const INITIAL_WORK_MS = 150;

/** Estimates the work times of one backend server by exponential moving averages, overall and per route. */
export class WorkTimeEstimator {
    readonly #byRoute = new Map<string, number>();
    #meanMs: number | undefined;

    /** Mean work time over all routes. */
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

    /** Records a request that was abandoned after `workMs`: a lower bound, which counts only if it exceeds the estimate. */
    recordUnfinished(route: string, workMs: number): void {
        if (workMs > this.estimate(route)) {
            this.record(route, workMs);
        }
    }

    /** Discards all samples, for example when another server runs at the address. */
    reset(): void {
        this.#byRoute.clear();
        this.#meanMs = undefined;
    }
}

function updateMean(mean: number | undefined, value: number): number {
    return mean === undefined ? value : mean + (value - mean) * WORK_SMOOTHING;
}
