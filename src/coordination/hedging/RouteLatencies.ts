/** What a daemon knows of the latencies of one route. */
import { LatencyDistribution } from "./LatencyDistribution.js";

/** Weight of the newest latency in the exponential moving averages. */
const SMOOTHING = 0.05;
/** Mean deviations above the mean latency after which an answer is probably lost. */
const LOST_DEVIATIONS = 4;
/** Minimum number of answers for an estimate of that time. */
const MINIMUM_ANSWERS = 20;

export class RouteLatencies {
    /** Latencies of first requests, until the answer begins. */
    readonly distribution = new LatencyDistribution();
    #answers = 0;
    #meanMs = 0;
    #deviationMs = 0;

    /** Records the time until the end of an answer. */
    recordAnswer(latencyMs: number): void {
        this.#answers++;
        const weight = Math.max(SMOOTHING, 1 / this.#answers);
        this.#deviationMs += (Math.abs(latencyMs - this.#meanMs) - this.#deviationMs) * weight;
        this.#meanMs += (latencyMs - this.#meanMs) * weight;
    }

    /** Latency after which an answer is probably lost; undefined until there are enough answers. */
    estimateLostDelay(): number | undefined {
        return this.#answers < MINIMUM_ANSWERS ? undefined : this.#meanMs + LOST_DEVIATIONS * this.#deviationMs;
    }
}
