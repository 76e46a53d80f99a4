/**
 * Accounts for what an allocator has granted and may still be in use. A holder may use the last grant that it is known to
 * have taken, or any later one, until their terms are over; what has proceeded by them counts for one window more.
 */

interface SentGrant {
    readonly sequence: number;
    readonly endsAt: number;
    readonly quotas: ReadonlyMap<string, number>;
}

interface Uses {
    readonly endsAt: number;
    readonly byTenant: ReadonlyMap<string, number>;
}

interface Holder {
    sent: readonly SentGrant[];
    /** Requests of the last window, as reported last. */
    uses: Uses | undefined;
    out: ReadonlyMap<string, number>;
}

/** Parts of the rules, which tests break one at a time. */
export interface GrantLedgerRules {
    /** Whether a grant replaces the ones before it as soon as it is sent. */
    readonly forgetsUnacknowledged: boolean;
    readonly ignoresUses: boolean;
    /** Whether what was granted counts for one window after the grant's end. */
    readonly rests: boolean;
}

export const GRANT_LEDGER_RULES: GrantLedgerRules = {
    forgetsUnacknowledged: false,
    ignoresUses: false,
    rests: true,
};

export class GrantLedger {
    readonly #rules: GrantLedgerRules;
    readonly #windowMs: number;
    readonly #holders = new Map<string, Holder>();
    readonly #totals = new Map<string, number>();

    constructor(windowMs: number, rules: GrantLedgerRules = GRANT_LEDGER_RULES) {
        this.#windowMs = windowMs;
        this.#rules = rules;
    }

    /** What all holders together may be using of a tenant's limit. */
    getTotal(tenant: string): number {
        return this.#totals.get(tenant) ?? 0;
    }

    /** What one holder may be using. */
    get(holder: string, tenant: string): number {
        return this.#holders.get(holder)?.out.get(tenant) ?? 0;
    }

    /** What a holder was granted last. */
    getLast(holder: string, tenant: string): number {
        return this.#holders.get(holder)?.sent.at(-1)?.quotas.get(tenant) ?? 0;
    }

    record(holder: string, sequence: number, endsAt: number, quotas: ReadonlyMap<string, number>): void {
        const state = this.#require(holder);
        state.sent = [...this.#rules.forgetsUnacknowledged ? [] : state.sent, { endsAt, quotas, sequence }];
        this.#update(state);
    }

    /**
     * Records a report of a holder: the grant that it has taken, so that it can't use those before, and what it has used in
     * the last window. What proceeds after the report does so by that grant or a later one.
     */
    acknowledge(holder: string, sequence: number, uses: ReadonlyMap<string, number>, now: number): void {
        const state = this.#require(holder);
        if (state.sent.some(grant => grant.sequence === sequence)) {
            state.sent = state.sent.filter(grant => grant.sequence >= sequence);
        }
        state.uses = this.#rules.ignoresUses ? undefined : { byTenant: uses, endsAt: now + this.#windowMs };
        this.#update(state);
    }

    /** Drops what has ended more than one window ago. */
    expire(now: number): void {
        const restMs = this.#rules.rests ? this.#windowMs : 0;
        for (const [id, state] of this.#holders) {
            const sent = state.sent.filter(({ endsAt }) => endsAt + restMs > now);
            const uses = state.uses !== undefined && state.uses.endsAt > now ? state.uses : undefined;
            if (sent.length < state.sent.length || uses !== state.uses) {
                state.sent = sent;
                state.uses = uses;
                this.#update(state);
            }
            if (sent.length === 0 && uses === undefined) {
                this.#holders.delete(id);
            }
        }
    }

    #require(id: string): Holder {
        const state: Holder = this.#holders.get(id) ?? { out: new Map(), sent: [], uses: undefined };
        this.#holders.set(id, state);
        return state;
    }

    #update(state: Holder): void {
        const after = new Map<string, number>(state.uses?.byTenant);
        for (const { quotas } of state.sent) {
            for (const [tenant, quota] of quotas) {
                after.set(tenant, Math.max(after.get(tenant) ?? 0, quota));
            }
        }
        for (const tenant of new Set([...state.out.keys(), ...after.keys()])) {
            const total = this.getTotal(tenant) - (state.out.get(tenant) ?? 0) + (after.get(tenant) ?? 0);
            this.#totals.set(tenant, total);
        }
        state.out = after;
    }
}
