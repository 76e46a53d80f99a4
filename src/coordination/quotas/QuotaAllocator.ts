/**
 * Grants parts of all limits, out of what daemons have lent to this process, to the daemons where requests arrive. What is
 * granted or was used within the last window never exceeds what is lent for longer than the grants last.
 */
import { GRANT_LEDGER_RULES, GrantLedger } from "./GrantLedger.js";
import type { GrantLedgerRules } from "./GrantLedger.js";
import { LoanLedger } from "./LoanLedger.js";
import { CLOCK_MARGIN_MS, GRANT_TERM_MS, LOAN_TERM_MS } from "./QuotaConstants.js";
import type { GrantEntry, QuotaDemand, QuotaGrant } from "./QuotaMessages.js";
import { computeTargets } from "./ShareTargets.js";
import { computeWindowLimit } from "./TenantLimits.js";
import type { TenantLimits } from "./TenantLimits.js";

/** Time without a demand after which a daemon is forgotten; its last grant is over by then. */
const DEMAND_RETENTION_MS = 2_000;
/** Time for which computed targets are used again; demands of many daemons arrive in between. */
const TARGETS_RETENTION_MS = 50;
/** Time after a refusal for which a daemon goes before others that have used up their part. */
const REFUSAL_RETENTION_MS = 1_000;
/** Difference from its target at which a daemon is told of a new one before its next demand, and the least in requests. */
const CORRECTION_SHARE = 0.1;

/** Parts of the rules, which tests break one at a time. */
export interface AllocatorRules {
    readonly ledger: GrantLedgerRules;
    readonly grantTermMs: number;
    readonly loanTermMs: number;
    /** Whether a loan counts from its arrival, not from when it may have been sent. */
    readonly countsLoansFromArrival: boolean;
    /** Whether grants may outlast the loans behind them. */
    readonly outlastsLoans: boolean;
    /** Whether loans made to another process are counted. */
    readonly countsLoansOfOthers: boolean;
    /** Whether demands that were overtaken are taken in. */
    readonly takesOvertakenDemands: boolean;
    /** Whether what other daemons hold is left out. */
    readonly ignoresOthers: boolean;
}

export const ALLOCATOR_RULES: AllocatorRules = {
    countsLoansFromArrival: false,
    countsLoansOfOthers: false,
    grantTermMs: GRANT_TERM_MS,
    ignoresOthers: false,
    ledger: GRANT_LEDGER_RULES,
    loanTermMs: LOAN_TERM_MS - CLOCK_MARGIN_MS,
    outlastsLoans: false,
    takesOvertakenDemands: false,
};

interface KnownDemand {
    readonly wanted: number;
    readonly used: number;
    readonly refusedAt: number;
}

interface Holder {
    readonly id: string;
    readonly run: number;
    readonly key: string;
    demandSequence: number;
    demandAt: number;
    /** Numbers of the tenants with demand. */
    tenants: readonly number[];
    /** When grants were sent, by sequence number, from the last one that was acknowledged. */
    readonly sentAt: Map<number, number>;
}

interface TenantState {
    readonly demands: Map<string, KnownDemand>;
    targets: ReadonlyMap<string, number>;
    targetsAt: number;
    /** Whether a daemon got less than its target. */
    isShort: boolean;
}

/** What a daemon may be using of a tenant's limit. */
export interface HeldShare {
    readonly id: string;
    readonly quota: number;
}

export class QuotaAllocator {
    readonly #run: number;
    readonly #windowMs: number;
    readonly #rules: AllocatorRules;
    readonly #loans = new LoanLedger();
    readonly #grants: GrantLedger;
    readonly #holders = new Map<string, Holder>();
    readonly #tenants = new Map<string, TenantState>();
    #limits: TenantLimits;
    #sequence = 0;

    constructor(run: number, limits: TenantLimits, windowMs: number, rules: AllocatorRules = ALLOCATOR_RULES) {
        this.#run = run;
        this.#limits = limits;
        this.#windowMs = windowMs;
        this.#rules = rules;
        this.#grants = new GrantLedger(windowMs, rules.ledger);
    }

    /** Number of processes that have reported demand lately. */
    get holderCount(): number {
        return this.#holders.size;
    }

    /** Part of all limits that is lent to this process. */
    readWeight(now: number): number {
        return this.#loans.getWeight(now);
    }

    setLimits(limits: TenantLimits): void {
        const isRenumbered = limits.hash !== this.#limits.hash;
        this.#limits = limits;
        for (const [name, state] of this.#tenants) {
            if (limits.get(name) === undefined) {
                this.#tenants.delete(name);
            }
            state.targetsAt = -Infinity;
        }
        if (isRenumbered) {
            this.#holders.forEach(holder => {
                holder.tenants = [];
            });
            this.#tenants.forEach(({ demands }) => demands.clear());
        }
    }

    /** Ends loans and grants whose terms are over, and forgets daemons that are silent. */
    advance(now: number): void {
        this.#loans.expire(now);
        this.#grants.expire(now);
        for (const [key, holder] of this.#holders) {
            if (now - holder.demandAt > DEMAND_RETENTION_MS) {
                this.#holders.delete(key);
                this.#tenants.forEach(({ demands }) => demands.delete(key));
            }
        }
    }

    /**
     * Takes in a daemon's demand and loan. `transitMs` is the longest time that the message can have been on its way,
     * Infinity if that isn't known. Returns false for a message that was overtaken.
     */
    handleDemand(id: string, demand: QuotaDemand, transitMs: number, now: number): boolean {
        const key = `${id}/${demand.run}`;
        const holder = this.#holders.get(key) ?? this.#addHolder(id, demand.run, key);
        if (demand.sequence <= holder.demandSequence && !this.#rules.takesOvertakenDemands) {
            return false;
        }
        holder.demandSequence = Math.max(holder.demandSequence, demand.sequence);
        holder.demandAt = now;
        if (demand.table !== this.#limits.hash) {
            // Its uses can't be told, so neither its loan nor what it has taken counts.
            return true;
        }
        const isForThisRun = demand.allocatorRun === this.#run;
        if (isForThisRun || this.#rules.countsLoansOfOthers) {
            this.#recordLoan(holder, demand, transitMs, now);
        }
        if (isForThisRun) {
            const uses = new Map<string, number>();
            for (const { tenant, used } of demand.entries) {
                const name = this.#limits.getByIndex(tenant)?.name;
                if (name !== undefined && used > 0) {
                    uses.set(name, used);
                }
            }
            this.#grants.acknowledge(key, demand.grantSequence, uses, now);
            for (const sequence of holder.sentAt.keys()) {
                if (sequence < demand.grantSequence) {
                    holder.sentAt.delete(sequence);
                }
            }
        }
        this.#recordDemand(holder, demand, now);
        return true;
    }

    /** Makes a grant for a daemon's process; undefined if that has reported no demand lately. */
    buildGrant(id: string, run: number, now: number): QuotaGrant | undefined {
        const key = `${id}/${run}`;
        const holder = this.#holders.get(key);
        if (holder === undefined) {
            return undefined;
        }
        this.#grants.expire(now);
        const endsAt = now + this.#rules.grantTermMs;
        const weight = this.#loans.getWeight(this.#rules.outlastsLoans ? now : endsAt);
        const quotas = new Map<string, number>();
        const entries: GrantEntry[] = [];
        for (const tenant of holder.tenants) {
            const name = this.#limits.getByIndex(tenant)?.name;
            const quota = name === undefined ? 0 : this.#planQuota(name, key, weight, now);
            if (name !== undefined && quota > 0) {
                quotas.set(name, quota);
                entries.push({ quota, tenant });
            }
        }
        const sequence = ++this.#sequence;
        this.#grants.record(key, sequence, endsAt, quotas);
        holder.sentAt.set(sequence, now);
        return {
            demandSequence: holder.demandSequence,
            entries,
            holderRun: run,
            run: this.#run,
            sequence,
            table: this.#limits.hash,
        };
    }

    /**
     * Lists the daemons that should be told of a new grant before their next demand: those that hold more than their
     * target while others lack it, and those that lack what has become free.
     */
    listDue(now: number): readonly { readonly id: string; readonly run: number; }[] {
        this.advance(now);
        const due = new Set<string>();
        const weight = this.#loans.getWeight(now + this.#rules.grantTermMs);
        for (const [name, state] of this.#tenants) {
            if (state.isShort) {
                state.isShort = false;
                this.#addDue(name, state, weight, now, due);
            }
        }
        return [...due].flatMap(key => {
            const holder = this.#holders.get(key);
            return holder === undefined ? [] : [{ id: holder.id, run: holder.run }];
        });
    }

    /** What the daemons may be using of a tenant's limit. */
    listShares(name: string): readonly HeldShare[] {
        return [...this.#holders.values()].flatMap(({ id, key }) => {
            const quota = this.#grants.get(key, name);
            return quota === 0 ? [] : [{ id, quota }];
        });
    }

    #addHolder(id: string, run: number, key: string): Holder {
        const holder: Holder = {
            demandAt: -Infinity,
            demandSequence: 0,
            id,
            key,
            run,
            sentAt: new Map<number, number>(),
            tenants: [],
        };
        this.#holders.set(key, holder);
        return holder;
    }

    /** The lender sent its loan after it had taken the grant that it names, and at most `transitMs` ago. */
    #recordLoan(holder: Holder, demand: QuotaDemand, transitMs: number, now: number): void {
        if (demand.shareDivisor <= 0) {
            return;
        }
        const knownSince = Math.max(now - transitMs, holder.sentAt.get(demand.grantSequence) ?? -Infinity);
        const endsAt = (this.#rules.countsLoansFromArrival ? now : knownSince) + this.#rules.loanTermMs;
        if (endsAt > now) {
            this.#loans.record(holder.id, 1 / demand.shareDivisor, endsAt);
        }
    }

    #recordDemand(holder: Holder, demand: QuotaDemand, now: number): void {
        const { key } = holder;
        const named = new Set<number>();
        for (const { refused, tenant, used, wanted } of demand.entries) {
            const name = this.#limits.getByIndex(tenant)?.name;
            if (name !== undefined) {
                named.add(tenant);
                const { demands } = this.#getTenant(name);
                const refusedAt = refused > 0 ? now : demands.get(key)?.refusedAt ?? -Infinity;
                demands.set(key, { refusedAt, used, wanted });
            }
        }
        for (const tenant of holder.tenants) {
            if (!named.has(tenant)) {
                this.#tenants.get(this.#limits.getByIndex(tenant)?.name ?? "")?.demands.delete(key);
            }
        }
        holder.tenants = [...named];
    }

    #planQuota(name: string, key: string, weight: number, now: number): number {
        const state = this.#getTenant(name);
        const target = this.#getTarget(name, state, key, weight, now);
        const others = this.#rules.ignoresOthers ? 0 : this.#grants.getTotal(name) - this.#grants.get(key, name);
        const quota = Math.max(0, Math.min(target, this.#computeAmount(name, weight) - others));
        if (isBelow(quota, target)) {
            state.isShort = true;
        }
        return quota;
    }

    /** Requests within a window that may be granted to all daemons together. */
    #computeAmount(name: string, weight: number): number {
        const limit = this.#limits.get(name);
        return limit === undefined ? 0 : Math.floor(computeWindowLimit(limit, this.#windowMs) * weight);
    }

    #getTarget(name: string, state: TenantState, key: string, weight: number, now: number): number {
        if (now - state.targetsAt >= TARGETS_RETENTION_MS) {
            state.targetsAt = now;
            const demands = new Map([...state.demands].map(([id, { refusedAt, used, wanted }]) => {
                return [id, { isRefused: now - refusedAt < REFUSAL_RETENTION_MS, used, wanted }];
            }));
            state.targets = computeTargets(demands, this.#computeAmount(name, weight));
        }
        return state.targets.get(key) ?? 0;
    }

    #addDue(name: string, state: TenantState, weight: number, now: number, due: Set<string>): void {
        for (const key of state.demands.keys()) {
            const target = this.#getTarget(name, state, key, weight, now);
            const last = this.#grants.getLast(key, name);
            if (isBelow(target, last)) {
                due.add(key);
            }
            else if (isBelow(last, target)) {
                state.isShort = true;
                const free = this.#computeAmount(name, weight) - this.#grants.getTotal(name);
                if (free >= 1) {
                    due.add(key);
                }
            }
        }
    }

    #getTenant(name: string): TenantState {
        const existing = this.#tenants.get(name);
        if (existing !== undefined) {
            return existing;
        }
        const state = { demands: new Map(), isShort: false, targets: new Map(), targetsAt: -Infinity };
        this.#tenants.set(name, state);
        return state;
    }
}

function isBelow(quota: number, target: number): boolean {
    return quota < target * (1 - CORRECTION_SHARE);
}
