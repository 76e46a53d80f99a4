/**
 * Decides when a daemon's own share of all limits may be used by itself, and when it may be lent. The share is in one
 * place at a time: with this daemon, or with one process of one allocator. Requests that proceeded by a loan count for one
 * window after its term, so the share rests for that time before it goes to another place.
 */
import { LOAN_TERM_MS, MEMBER_SPREAD_MS, SHARE_GROWTH_DELAY_MS } from "./QuotaConstants.js";

interface Loan {
    readonly allocatorId: string;
    readonly allocatorRun: number;
    readonly endsAt: number;
}

/** Parts of the rules, which tests break one at a time. */
export interface LenderRules {
    readonly loanTermMs: number;
    readonly spreadMs: number;
    readonly growthDelayMs: number;
    /** Whether a share may be lent although a loan to another process isn't over. */
    readonly lendsTwice: boolean;
    /** Whether a share rests after a loan. */
    readonly rests: boolean;
}

export const LENDER_RULES: LenderRules = {
    growthDelayMs: SHARE_GROWTH_DELAY_MS,
    lendsTwice: false,
    loanTermMs: LOAN_TERM_MS,
    rests: true,
    spreadMs: MEMBER_SPREAD_MS,
};

export class ShareLender {
    readonly #rules: LenderRules;
    readonly #restMs: number;
    readonly #startsAt: number;
    #loan: Loan | undefined;
    #isEnded = false;
    /** Numbers of daemons seen lately, the largest first, each with the time at which it was last seen. */
    #counts: { readonly count: number; readonly seenAt: number; }[] = [];

    /**
     * `isFirst` says that this daemon has never run before. Otherwise an earlier process may have lent the share, or have
     * used it, just before it ended.
     */
    constructor(startedAt: number, windowMs: number, isFirst: boolean, rules: LenderRules = LENDER_RULES) {
        this.#rules = rules;
        this.#restMs = rules.rests ? windowMs : 0;
        this.#startsAt = startedAt
            + (isFirst ? rules.spreadMs : Math.max(rules.spreadMs, rules.loanTermMs + this.#restMs));
    }

    /** Records how many daemons there are. A larger number divides the share at once, a smaller one after a while. */
    recordCount(count: number, now: number): void {
        this.#counts = this.#counts.filter(entry =>
            entry.count > count && now - entry.seenAt < this.#rules.growthDelayMs
        );
        this.#counts.push({ count: Math.max(1, count), seenAt: now });
    }

    /** Daemons among which the limits are divided; 0 while that isn't known. */
    get divisor(): number {
        return this.#counts[0]?.count ?? 0;
    }

    /** Time from which this daemon may use its own share, unless it is lent again before. */
    get ownFrom(): number {
        return this.#isEnded ? Infinity : Math.max(this.#startsAt, (this.#loan?.endsAt ?? -Infinity) + this.#restMs);
    }

    /** Whether a loan to this allocator is not over. */
    isLentTo(allocatorId: string, now: number): boolean {
        return this.#loan !== undefined && this.#loan.allocatorId === allocatorId && now < this.#loan.endsAt;
    }

    /** Lends the share to a process of an allocator, and returns its divisor; 0 if it can't be lent now. */
    lend(allocatorId: string, allocatorRun: number, now: number): number {
        const isElsewhere = this.#loan !== undefined && now < this.#loan.endsAt + this.#restMs
            && (this.#loan.allocatorId !== allocatorId || this.#loan.allocatorRun !== allocatorRun);
        if (
            this.#isEnded || allocatorRun === 0 || now < this.#startsAt || isElsewhere && !this.#rules.lendsTwice
            || this.divisor === 0
        ) {
            return 0;
        }
        this.#loan = { allocatorId, allocatorRun, endsAt: now + this.#rules.loanTermMs };
        return this.divisor;
    }

    /** Gives the share up for good, before the others stop counting this daemon. */
    end(): void {
        this.#isEnded = true;
    }
}
