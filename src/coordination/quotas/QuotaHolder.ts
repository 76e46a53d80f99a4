/**
 * Decides at a caller's daemon whether requests of tenants may proceed: from its own share while that isn't lent, and
 * from the grants of allocators until they end.
 */
import { DemandEstimate } from "./DemandEstimate.js";
import { Pacer } from "./Pacer.js";
import { CLOCK_MARGIN_MS, GRANT_TERM_MS, MS_PER_SECOND } from "./QuotaConstants.js";
import type { DemandEntry, QuotaGrant } from "./QuotaMessages.js";
import type { ShareLender } from "./ShareLender.js";
import { computeWindowLimit } from "./TenantLimits.js";
import type { TenantLimit, TenantLimits } from "./TenantLimits.js";
import { WindowCounter } from "./WindowCounter.js";

/** Time after the last request for which a tenant is reported, so that its next request finds a part of the limit. */
const STANDING_TIME_MS = 30_000;
/** Shortest time to retry: that of a message to the allocator and back, with the pause between two demands. */
const MINIMUM_RETRY_MS = 150;
/** Part of an earlier grant below which a grant is told to the allocator to be in force at once. */
const LOWERED_SHARE = 0.9;

interface TenantState {
    limit: TenantLimit;
    readonly uses: WindowCounter;
    readonly pacer: Pacer;
    readonly demand: DemandEstimate;
    quota: number;
    /** Requests refused since the last demand was sent. */
    refused: number;
    /** Time that the last refused caller was told. */
    promisedAt: number;
    servedTotal: number;
    refusedTotal: number;
}

interface HeldGrant {
    readonly sequence: number;
    readonly endsAt: number;
    readonly quotas: ReadonlyMap<string, number>;
}

/** Parts of the rules, which tests break one at a time. */
export interface HolderRules {
    readonly grantTermMs: number;
    /** Whether a grant that was overtaken by a newer one is put in force. */
    readonly takesOvertakenGrants: boolean;
    /** Whether the term counts from the arrival of a grant, not from the sending of the demand that it answers. */
    readonly countsFromArrival: boolean;
    readonly ignoresEnd: boolean;
    /** Whether the own share is used although it is lent. */
    readonly usesLentShare: boolean;
    /** Whether uses are forgotten when a grant is lowered. */
    readonly hidesUses: boolean;
}

export const HOLDER_RULES: HolderRules = {
    countsFromArrival: false,
    grantTermMs: GRANT_TERM_MS - CLOCK_MARGIN_MS,
    hidesUses: false,
    ignoresEnd: false,
    takesOvertakenGrants: false,
    usesLentShare: false,
};

/** Use of one tenant's limit at this daemon, for operators. */
export interface TenantUse {
    readonly limit: TenantLimit;
    /** Requests that may proceed within any window. */
    readonly quota: number;
    /** Requests that have proceeded within the last window. */
    readonly used: number;
    readonly demandPerSecond: number;
    readonly served: number;
    readonly refused: number;
}

export class QuotaHolder {
    readonly #lender: ShareLender;
    readonly #rules: HolderRules;
    readonly #windowMs: number;
    #limits: TenantLimits;
    #tenants = new Map<string, TenantState>();
    /** The newest grant of each process of an allocator. */
    readonly #grants = new Map<number, HeldGrant>();
    #usesOwnShare = false;
    #ownDivisor = 0;
    #refused = 0;
    #wasLowered = false;

    constructor(
        limits: TenantLimits,
        lender: ShareLender,
        windowMs: number,
        now: number,
        rules: HolderRules = HOLDER_RULES,
    ) {
        this.#limits = limits;
        this.#lender = lender;
        this.#windowMs = windowMs;
        this.#rules = rules;
        this.setLimits(limits, now);
    }

    /** Whether a request was refused since the last demand. */
    get hasUnservedDemand(): boolean {
        return this.#refused > 0;
    }

    /** Whether the last grant has lowered the quota of a tenant. */
    get wasLowered(): boolean {
        return this.#wasLowered;
    }

    /** Puts other limits in force. Uses of the tenants that remain still count. */
    setLimits(limits: TenantLimits, now: number): void {
        this.settle(now);
        const before = this.#tenants;
        this.#limits = limits;
        this.#tenants = new Map(
            limits.list().map(limit => {
                const state = before.get(limit.name) ?? this.#createState(limit, now);
                state.limit = limit;
                return [limit.name, state];
            }),
        );
        this.#updateAll(now);
    }

    /**
     * Takes a request's part of the limit. Returns undefined if it may proceed, otherwise the time after which its caller
     * should come again: when there will be room for it, behind those that were told to come before.
     */
    take(name: string, now: number): number | undefined {
        const state = this.#tenants.get(name);
        if (state === undefined) {
            return undefined;
        }
        this.settle(now);
        state.demand.record(now);
        state.pacer.advance(now);
        const used = state.uses.read(now);
        const pauseMs = state.pacer.measureWait();
        if (used + 1 <= state.quota && pauseMs === 0) {
            state.uses.add(now);
            state.pacer.take();
            state.servedTotal++;
            return undefined;
        }
        state.refused++;
        state.refusedTotal++;
        this.#refused++;
        return this.#estimateRetry(state, used, pauseMs, now);
    }

    /** Puts a grant in force, if it is newer than the last one of its process. `sentAt` is when its demand was sent. */
    applyGrant(grant: QuotaGrant, sentAt: number, now: number): boolean {
        this.settle(now);
        const before = this.#grants.get(grant.run);
        const isOvertaken = before !== undefined && grant.sequence <= before.sequence;
        const endsAt = (this.#rules.countsFromArrival ? now : sentAt) + this.#rules.grantTermMs;
        if (isOvertaken && !this.#rules.takesOvertakenGrants || endsAt <= now) {
            return false;
        }
        const quotas = new Map<string, number>();
        if (grant.table === this.#limits.hash) {
            for (const { quota, tenant } of grant.entries) {
                const name = this.#limits.getByIndex(tenant)?.name;
                if (name !== undefined) {
                    quotas.set(name, quota);
                }
            }
        }
        this.#grants.set(grant.run, { endsAt, quotas, sequence: grant.sequence });
        this.#wasLowered = false;
        for (const name of new Set([...before?.quotas.keys() ?? [], ...quotas.keys()])) {
            this.#wasLowered ||= (quotas.get(name) ?? 0) < (before?.quotas.get(name) ?? 0) * LOWERED_SHARE;
            const state = this.#tenants.get(name);
            if (state !== undefined) {
                this.#updateQuota(state, now);
            }
        }
        return true;
    }

    /** Sequence number of the last grant of an allocator's process that was taken; 0 before the first. */
    getGrantSequence(run: number): number {
        return this.#grants.get(run)?.sequence ?? 0;
    }

    /** Ends grants whose term is over, and starts or stops the use of the own share. */
    settle(now: number): void {
        let hasChanged = false;
        for (const [run, { endsAt }] of this.#grants) {
            if (endsAt <= now && !this.#rules.ignoresEnd) {
                this.#grants.delete(run);
                hasChanged = true;
            }
        }
        const usesOwnShare = now >= this.#lender.ownFrom || this.#rules.usesLentShare;
        if (usesOwnShare !== this.#usesOwnShare || usesOwnShare && this.#ownDivisor !== this.#lender.divisor) {
            this.#usesOwnShare = usesOwnShare;
            this.#ownDivisor = this.#lender.divisor;
            hasChanged = true;
        }
        if (hasChanged) {
            this.#updateAll(now);
        }
    }

    /** Demand of the tenants seen lately; the requests refused until now count as reported. */
    takeDemand(now: number): readonly DemandEntry[] {
        this.settle(now);
        const entries: DemandEntry[] = [];
        this.#limits.list().forEach(({ name }, tenant) => {
            const state = this.#tenants.get(name);
            if (state === undefined || now - state.demand.lastAt > STANDING_TIME_MS) {
                return;
            }
            entries.push({
                refused: state.refused,
                tenant,
                used: this.#rules.hidesUses ? 0 : state.uses.read(now),
                wanted: Math.ceil(state.demand.read(now) * this.#windowMs / MS_PER_SECOND),
            });
            state.refused = 0;
        });
        this.#refused = 0;
        return entries;
    }

    /** Requests a second of all limited tenants together. */
    readTotalDemand(now: number): number {
        let sum = 0;
        for (const { demand } of this.#tenants.values()) {
            sum += now - demand.lastAt > STANDING_TIME_MS ? 0 : demand.read(now);
        }
        return sum;
    }

    /** Use of all limited tenants, in the order of their names. */
    list(now: number): readonly TenantUse[] {
        this.settle(now);
        return [...this.#tenants.values()].map(state => ({
            demandPerSecond: state.demand.read(now),
            limit: state.limit,
            quota: state.quota,
            refused: state.refusedTotal,
            served: state.servedTotal,
            used: state.uses.read(now),
        }));
    }

    #createState(limit: TenantLimit, now: number): TenantState {
        return {
            demand: new DemandEstimate(now),
            limit,
            pacer: new Pacer(now),
            promisedAt: -Infinity,
            quota: 0,
            refused: 0,
            refusedTotal: 0,
            servedTotal: 0,
            uses: new WindowCounter(this.#windowMs),
        };
    }

    #updateAll(now: number): void {
        for (const state of this.#tenants.values()) {
            this.#updateQuota(state, now);
        }
    }

    #updateQuota(state: TenantState, now: number): void {
        const most = computeWindowLimit(state.limit, this.#windowMs);
        let quota = this.#usesOwnShare && this.#ownDivisor > 0 ? most / this.#ownDivisor : 0;
        for (const { quotas } of this.#grants.values()) {
            quota += quotas.get(state.limit.name) ?? 0;
        }
        state.quota = Math.min(most, quota);
        state.pacer.setQuota(state.quota, state.limit.burst / most, this.#windowMs, now);
    }

    /** Callers that are refused come back one after the other, as room for them becomes free. */
    #estimateRetry(state: TenantState, used: number, pauseMs: number, now: number): number {
        const most = computeWindowLimit(state.limit, this.#windowMs);
        // Without a grant a daemon can count on its part of the limit.
        const stepMs = this.#windowMs / Math.max(state.quota, most / Math.max(1, this.#lender.divisor));
        const excess = used + 1 - state.quota;
        const freeMs = excess <= 0 ? pauseMs : state.quota < 1 ? stepMs : state.uses.measureUntilFree(excess, now);
        const at = Math.max(now + freeMs, state.promisedAt + stepMs);
        state.promisedAt = Math.min(at, now + this.#windowMs);
        return Math.ceil(Math.min(this.#windowMs, Math.max(MINIMUM_RETRY_MS, at - now)));
    }
}
