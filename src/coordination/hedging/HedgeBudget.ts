/**
 * Limits the hedges of one daemon to a share of its repeatable requests.
 *
 * Each request adds its share of a token, and a hedge takes a whole one. Two limits apply. In the window that ends with
 * a hedge, hedges are at most the share of the requests. No more tokens are kept than the last few seconds have added,
 * or one: in any shorter or later window, hedges are at most the share of the requests in it and in these seconds
 * before it, and one more. Sums over all daemons keep the same limits. A daemon that restarts begins with nothing.
 */
import {
    MAXIMUM_DEBT,
    MINIMUM_DEPTH,
    SLICES,
    TOKEN_LIFETIME_SLICES,
    USED_SHARE,
    WINDOW_MS,
} from "./HedgingConstants.js";

interface Slice {
    readonly index: number;
    /** Tokens that requests have added and hedges have taken. */
    added: number;
    taken: number;
}

export class HedgeBudget {
    #slices: Slice[] = [];
    #tokens = 0;

    /** Records the first attempt of a repeatable request, with the share that applies now. */
    recordRequest(share: number, now: number): void {
        this.#getSlice(now).added += share;
        this.#tokens = Math.min(this.#tokens + share, this.#computeDepth(now));
    }

    /** Records a call of a request that runs again, which is extra work like a hedge. */
    recordRepeatedCall(now: number): void {
        this.#getSlice(now).taken++;
        this.#tokens = Math.max(-MAXIMUM_DEBT, this.readTokens(now) - 1);
    }

    /** Tokens left; negative after repeated calls. */
    readTokens(now: number): number {
        this.#tokens = Math.min(this.#tokens, this.#computeDepth(now));
        return this.#tokens;
    }

    /** Whether a hedge may be sent now. */
    isAvailable(now: number): boolean {
        const { added, taken } = this.#sumSlices(now, SLICES);
        return this.readTokens(now) >= 1 && taken + 1 <= USED_SHARE * added;
    }

    /** Takes one hedge; false when there is none. */
    take(now: number): boolean {
        const isTaken = this.isAvailable(now);
        if (isTaken) {
            this.#getSlice(now).taken++;
            this.#tokens--;
        }
        return isTaken;
    }

    #computeDepth(now: number): number {
        return Math.max(MINIMUM_DEPTH, this.#sumSlices(now, TOKEN_LIFETIME_SLICES).added);
    }

    /** Sums up the present slice and those before it, `count` in all. */
    #sumSlices(now: number, count: number): Omit<Slice, "index"> {
        const first = computeIndex(now) - count;
        const sum = { added: 0, taken: 0 };
        for (const { added, index, taken } of this.#slices) {
            if (index > first) {
                sum.added += added;
                sum.taken += taken;
            }
        }
        return sum;
    }

    /** Returns the present slice, and drops those that lie before the window. */
    #getSlice(now: number): Slice {
        const index = computeIndex(now);
        let current = this.#slices.at(-1);
        if (current?.index !== index) {
            current = { added: 0, index, taken: 0 };
            this.#slices = [...this.#slices.filter(slice => slice.index > index - SLICES), current];
        }
        return current;
    }
}

function computeIndex(now: number): number {
    return Math.floor(now / (WINDOW_MS / SLICES));
}
