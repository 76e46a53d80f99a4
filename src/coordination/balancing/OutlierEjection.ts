import {
    EJECTION_BASE_MS,
    EJECTION_CONSECUTIVE_FAILURES,
    EJECTION_FAILURE_RATE,
    EJECTION_MAXIMUM_MS,
    EJECTION_MINIMUM_RESULTS,
    RESULT_HALF_LIFE_MS,
} from "./BalancingConstants.js";

/** Ejects one server from load balancing based on the results of its requests, regardless of reported health. */
export class OutlierEjection {
    #consecutiveFailures = 0;
    #successes = 0;
    #failures = 0;
    #decayedAt = 0;
    #ejectedUntil = 0;
    /** Ejections since the last success; each doubles the duration of the next one. */
    #ejections = 0;
    #isTrialInFlight = false;

    /** Whether the server is ejected now. */
    isEjected(now: number): boolean {
        return now < this.#ejectedUntil;
    }

    /** Whether an ejection has ended and the server gets one trial request at a time until one succeeds. */
    isHalfOpen(now: number): boolean {
        return this.#ejections > 0 && !this.isEjected(now);
    }

    /** Whether the server may be selected now. */
    isAvailable(now: number): boolean {
        return !this.isEjected(now) && !(this.#ejections > 0 && this.#isTrialInFlight);
    }

    /** Records the start of a request; a half-open server gets no other until it has ended. */
    recordStart(now: number): void {
        if (this.isHalfOpen(now)) {
            this.#isTrialInFlight = true;
        }
    }

    /** Records an end that says nothing about the server, for example a cancellation. */
    recordInconclusive(): void {
        this.#isTrialInFlight = false;
    }

    recordSuccess(now: number): void {
        this.#decay(now);
        this.#isTrialInFlight = false;
        this.#consecutiveFailures = 0;
        this.#successes++;
        if (!this.isEjected(now)) {
            this.#ejections = 0;
        }
    }

    /** Records a failure; returns whether it ejects the server. `mayEject` is false while too many are ejected. */
    recordFailure(mayEject: boolean, now: number): boolean {
        this.#decay(now);
        this.#isTrialInFlight = false;
        this.#consecutiveFailures++;
        this.#failures++;
        const results = this.#successes + this.#failures;
        const isOutlier = this.isHalfOpen(now)
            || this.#consecutiveFailures >= EJECTION_CONSECUTIVE_FAILURES
            || results >= EJECTION_MINIMUM_RESULTS && this.#failures / results > EJECTION_FAILURE_RATE;
        if (!isOutlier || !mayEject || this.isEjected(now)) {
            return false;
        }
        this.#ejectedUntil = now + Math.min(EJECTION_MAXIMUM_MS, EJECTION_BASE_MS * 2 ** this.#ejections);
        this.#ejections++;
        this.#consecutiveFailures = 0;
        this.#successes = 0;
        this.#failures = 0;
        return true;
    }

    #decay(now: number): void {
        const factor = 0.5 ** (Math.max(0, now - this.#decayedAt) / RESULT_HALF_LIFE_MS);
        this.#successes *= factor;
        this.#failures *= factor;
        this.#decayedAt = now;
    }
}
