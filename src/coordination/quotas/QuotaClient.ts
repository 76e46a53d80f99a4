/** A daemon's side of quotas: what it tells allocators and when, and what it takes from them. */
import { GRANT_TERM_MS } from "./QuotaConstants.js";
import { HOLDER_RULES, QuotaHolder } from "./QuotaHolder.js";
import type { HolderRules } from "./QuotaHolder.js";
import type { QuotaDemand, QuotaGrant } from "./QuotaMessages.js";
import { LENDER_RULES, ShareLender } from "./ShareLender.js";
import type { LenderRules } from "./ShareLender.js";
import type { TenantLimits } from "./TenantLimits.js";

/** Time between two demands while they change or requests are refused, and otherwise. */
const BUSY_INTERVAL_MS = 500;
const IDLE_INTERVAL_MS = 1_000;
/** Shortest time between two demands, after a refusal or a grant that takes something away. */
const URGENT_INTERVAL_MS = 100;
/** Factor by which that time grows with each urgent demand, up to the usual interval. */
const URGENT_BACKOFF = 1.5;
/** Share by which demand has to differ to be reported after the shorter time. */
const CHANGE_SHARE = 0.25;

export interface ClientRules {
    readonly holder: HolderRules;
    readonly lender: LenderRules;
}

export const CLIENT_RULES: ClientRules = { holder: HOLDER_RULES, lender: LENDER_RULES };

export interface QuotaClientOptions {
    /** Names this process among all that have run on any VM; not 0. */
    readonly run: number;
    readonly limits: TenantLimits;
    readonly windowMs: number;
    /** Whether no process of this daemon has run before. */
    readonly isFirst: boolean;
}

export class QuotaClient {
    readonly lender: ShareLender;
    readonly holder: QuotaHolder;
    readonly #run: number;
    /** Processes of allocators, by daemon. */
    readonly #runs = new Map<string, number>();
    /** When demands were sent whose grants may still come, by sequence number. */
    readonly #sentAt = new Map<number, number>();
    #limits: TenantLimits;
    #sequence = 0;
    #current: string | undefined;
    /** Allocator before the current one, which has this daemon's loan until it ends. */
    #former: string | undefined;
    #lastSentAt = -Infinity;
    #urgentIntervalMs = URGENT_INTERVAL_MS;
    #isAnswerDue = false;
    #lastTotal = 0;

    constructor(options: QuotaClientOptions, now: number, rules: ClientRules = CLIENT_RULES) {
        const { isFirst, limits, run, windowMs } = options;
        this.#run = run;
        this.#limits = limits;
        this.lender = new ShareLender(now, windowMs, isFirst, rules.lender);
        this.holder = new QuotaHolder(limits, this.lender, windowMs, now, rules.holder);
    }

    get run(): number {
        return this.#run;
    }

    setLimits(limits: TenantLimits, now: number): void {
        this.#limits = limits;
        this.holder.setLimits(limits, now);
        this.#isAnswerDue = true;
    }

    /** Sets the allocator; the former one is told the demand until the loan to it ends. */
    setAllocator(id: string | undefined): void {
        if (id !== this.#current) {
            this.#former = this.#current ?? this.#former;
            this.#current = id;
            this.#isAnswerDue = true;
        }
    }

    /** Whether a demand should be sent now. */
    isDue(now: number): boolean {
        const elapsed = now - this.#lastSentAt;
        if (elapsed < BUSY_INTERVAL_MS) {
            return elapsed >= this.#urgentIntervalMs && (this.holder.hasUnservedDemand || this.#isAnswerDue);
        }
        return elapsed >= IDLE_INTERVAL_MS || this.holder.hasUnservedDemand || this.#hasChanged(now);
    }

    /** Makes the demands that are due, one for each allocator that has to know; the current one gets the loan. */
    buildDemands(now: number): readonly { readonly allocatorId: string; readonly demand: QuotaDemand; }[] {
        const isUrgent = now - this.#lastSentAt < BUSY_INTERVAL_MS;
        this.#urgentIntervalMs = isUrgent
            ? Math.min(BUSY_INTERVAL_MS, this.#urgentIntervalMs * URGENT_BACKOFF)
            : Math.max(URGENT_INTERVAL_MS, this.#urgentIntervalMs / URGENT_BACKOFF);
        this.#lastSentAt = now;
        this.#isAnswerDue = false;
        this.#lastTotal = this.holder.readTotalDemand(now);
        for (const [sequence, sentAt] of this.#sentAt) {
            if (now - sentAt > GRANT_TERM_MS) {
                this.#sentAt.delete(sequence);
            }
        }
        const former = this.#former !== undefined && this.lender.isLentTo(this.#former, now) ? this.#former : undefined;
        const entries = this.holder.takeDemand(now);
        return [...new Set([former, this.#current])].filter(id => id !== undefined).map(allocatorId => {
            const allocatorRun = this.#runs.get(allocatorId) ?? 0;
            const shareDivisor = allocatorId === this.#current ? this.lender.lend(allocatorId, allocatorRun, now) : 0;
            this.holder.settle(now);
            this.#sequence++;
            this.#sentAt.set(this.#sequence, now);
            const demand = {
                allocatorRun,
                entries,
                grantSequence: this.holder.getGrantSequence(allocatorRun),
                run: this.#run,
                sequence: this.#sequence,
                shareDivisor,
                table: this.#limits.hash,
            };
            return { allocatorId, demand };
        });
    }

    /** Puts a grant in force; false if it is for an earlier process, was overtaken or is over. */
    handleGrant(allocatorId: string, grant: QuotaGrant, now: number): boolean {
        const sentAt = this.#sentAt.get(grant.demandSequence);
        if (grant.holderRun !== this.#run || sentAt === undefined) {
            return false;
        }
        if (this.#runs.get(allocatorId) !== grant.run) {
            this.#runs.set(allocatorId, grant.run);
            // The process is told of the loan, which it could not be before.
            this.#isAnswerDue = true;
        }
        const isTaken = this.holder.applyGrant(grant, sentAt, now);
        if (isTaken && this.holder.wasLowered) {
            // What this daemon has lost is free for others once the allocator knows that.
            this.#isAnswerDue = true;
        }
        return isTaken;
    }

    #hasChanged(now: number): boolean {
        const total = this.holder.readTotalDemand(now);
        return Math.abs(total - this.#lastTotal) > CHANGE_SHARE * Math.max(1, this.#lastTotal);
    }
}
