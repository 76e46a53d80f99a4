/** Weight of the newest answer in the mean size of a route. */
const SIZE_SMOOTHING = 0.1;

/** Estimates the sizes of a server's answers by an exponential moving average for each route. */
export class AnswerSizeEstimator {
    readonly #byRoute = new Map<string, number>();

    /** Expected size in bytes; `initialBytes` before the first answer of the route. */
    estimate(route: string, initialBytes: number): number {
        return this.#byRoute.get(route) ?? initialBytes;
    }

    record(route: string, bytes: number): void {
        const mean = this.#byRoute.get(route) ?? bytes;
        this.#byRoute.set(route, mean + (bytes - mean) * SIZE_SMOOTHING);
    }
}
