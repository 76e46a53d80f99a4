/**
 * Distribution of a route's latencies, of which some are known by a lower bound only.
 *
 * Load pattern: hedging ends the slowest requests early. Leaving them out would lower the quantiles, so that more and
 * more requests were hedged; counting the time until the end as their latency would show that waiting is seldom worth
 * it or always is. The estimate of Kaplan and Meier uses the bounds for what they are.
 */
import { KEPT_LATENCIES, LATENCIES_PER_ESTIMATE, MINIMUM_ANSWERS } from "./HedgingConstants.js";

interface Latency {
    readonly ms: number;
    readonly isLowerBound: boolean;
}

/** Probability that a latency exceeds `ms`, which holds until the next step. */
interface SurvivalStep {
    readonly ms: number;
    readonly survival: number;
}

/** Latencies longer than all known ones: a request that takes longer than any before is not about to be answered. */
const UNSEEN_LATENCIES = 1;

export class LatencyDistribution {
    readonly #latencies: Latency[] = [];
    #recorded = 0;
    #estimatedAt = -Infinity;
    #steps: readonly SurvivalStep[] = [];

    /** Records the latency of an answer. */
    record(ms: number): void {
        this.#add({ isLowerBound: false, ms });
    }

    /** Records a request that was abandoned after `ms` without an answer. */
    recordLowerBound(ms: number): void {
        this.#add({ isLowerBound: true, ms });
    }

    /** Latency that the share `quantile` of the requests doesn't exceed; undefined until there are enough answers. */
    estimateQuantile(quantile: number): number | undefined {
        this.#update();
        return this.#steps.find(({ survival }) => survival <= 1 - quantile)?.ms ?? this.#steps.at(-1)?.ms;
    }

    /** Probability that no answer has come after `untilMs`, if none has come after `fromMs`. */
    estimateSurvival(fromMs: number, untilMs: number): number {
        this.#update();
        return this.#readSurvival(untilMs) / this.#readSurvival(fromMs);
    }

    #add(latency: Latency): void {
        this.#latencies[this.#recorded % KEPT_LATENCIES] = latency;
        this.#recorded++;
    }

    #readSurvival(ms: number): number {
        return this.#steps.findLast(step => step.ms <= ms)?.survival ?? 1;
    }

    #update(): void {
        if (this.#recorded - this.#estimatedAt < LATENCIES_PER_ESTIMATE) {
            return;
        }
        const answers = this.#latencies.filter(({ isLowerBound }) => !isLowerBound).length;
        if (answers >= MINIMUM_ANSWERS) {
            this.#estimatedAt = this.#recorded;
            this.#steps = computeSurvival(this.#latencies);
        }
    }
}

function computeSurvival(latencies: readonly Latency[]): readonly SurvivalStep[] {
    // An answer and a lower bound of the same time: the abandoned request had no answer yet.
    const sorted = latencies.toSorted((left, right) =>
        left.ms - right.ms || Number(left.isLowerBound) - Number(right.isLowerBound)
    );
    const steps: SurvivalStep[] = [];
    let survival = 1;
    sorted.forEach(({ isLowerBound, ms }, index) => {
        if (!isLowerBound) {
            survival *= 1 - 1 / (sorted.length - index + UNSEEN_LATENCIES);
            steps.push({ ms, survival });
        }
    });
    return steps;
}
