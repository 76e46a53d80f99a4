/** Counts decisions on requests by the age of the version that decided, as a share of the deadline of versions. */

/** Shares up to which an age belongs to each count; the last count has the rest, and unknown ages. */
const AGE_SHARES = [0.25, 0.5, 0.8, 1, Infinity] as const;

export interface AgeCount {
    readonly upToShare: number;
    readonly decisions: number;
}

export class DecisionAges {
    readonly #deadlineMs: number;
    readonly #counts: number[] = AGE_SHARES.map(() => 0);

    constructor(deadlineMs: number) {
        this.#deadlineMs = deadlineMs;
    }

    /** Counts a decision by a version whose age was `ageMs`; Infinity when it was unknown. */
    record(ageMs: number): void {
        const index = AGE_SHARES.findIndex(share => ageMs <= share * this.#deadlineMs);
        this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    }

    /** Decisions in each range of ages; ranges don't overlap. */
    list(): readonly AgeCount[] {
        return AGE_SHARES.map((upToShare, index) => ({ decisions: this.#counts[index] ?? 0, upToShare }));
    }
}
