/** Shares that are lent to an allocator, by lender, and how much of all limits they are together at a time to come. */

interface Loan {
    readonly weight: number;
    readonly endsAt: number;
}

/** Rounding error of a sum of shares, such as of three thirds. */
const ROUNDING_ERROR = 1e-9;

export class LoanLedger {
    readonly #loans = new Map<string, Loan>();

    /** Records the newest loan of a lender, which replaces its earlier one. */
    record(lenderId: string, weight: number, endsAt: number): void {
        this.#loans.set(lenderId, { endsAt, weight });
    }

    /** Part of all limits that is lent until after `at`. */
    getWeight(at: number): number {
        let sum = 0;
        for (const { endsAt, weight } of this.#loans.values()) {
            if (endsAt > at) {
                sum += weight;
            }
        }
        return Math.min(1, sum + ROUNDING_ERROR);
    }

    expire(now: number): void {
        for (const [id, { endsAt }] of this.#loans) {
            if (endsAt <= now) {
                this.#loans.delete(id);
            }
        }
    }
}
