/**
 * Time for the store to answer a call: some times as long as its last answer took, doubled after each one that was
 * missed, so that a store that is slow for all isn't taken to be silent.
 */
import { MAXIMUM_ANSWER_TIMEOUT_MS, MINIMUM_ANSWER_TIMEOUT_MS, TIMEOUT_ROUND_TRIPS } from "./DirectoryConstants.js";

export class AnswerTimeout {
    #roundTripMs = 0;
    #missedAnswers = 0;

    /** Time that the last answer took; 0 before the first one. */
    get roundTripMs(): number {
        return this.#roundTripMs;
    }

    get timeoutMs(): number {
        const usualMs = Math.max(MINIMUM_ANSWER_TIMEOUT_MS, TIMEOUT_ROUND_TRIPS * this.#roundTripMs);
        return Math.min(MAXIMUM_ANSWER_TIMEOUT_MS, usualMs * 2 ** this.#missedAnswers);
    }

    recordAnswer(ms: number): void {
        this.#roundTripMs = ms;
        this.#missedAnswers = 0;
    }

    recordMissedAnswer(): void {
        this.#missedAnswers++;
    }
}
