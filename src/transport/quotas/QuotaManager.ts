/**
 * Applies the limits of tenants to the requests of this daemon's callers: lends the daemon's share to the allocator, asks
 * it for grants, and is the allocator for other daemons where they choose this one. Does nothing while no tenant has a limit.
 */
import { AllocatorChoice, QuotaAllocator, QuotaClient, TenantLimits } from "../../coordination/quotas/index.js";
import type { AllocatorCandidate, QuotaDemand, TenantUse } from "../../coordination/quotas/index.js";
import type { SessionMessageOf } from "../../protocol/session/index.js";
import type { Tenant } from "../../state/traffic/index.js";
import type { PartLogger } from "../logging/index.js";
import { scheduleRepeating } from "../timers/index.js";
import type { Timers } from "../timers/index.js";

export type QuotaMessage = SessionMessageOf<"quotaDemand"> | SessionMessageOf<"quotaGrant">;

export interface QuotaManagerOptions {
    readonly selfId: string;
    /** Window over which limits hold. */
    readonly windowMs: number;
    /** Whether no process of this daemon has run before. */
    readonly isFirst: boolean;
    readonly log: PartLogger;
    /** Clock that counts suspension. */
    readonly now: () => number;
    /** Steady clock, by which sessions measure the transit of messages. */
    readonly readSendingTime: () => number;
    readonly random: () => number;
    readonly timers: Timers;
    /** Lists the tenants in force. */
    listTenants(): Iterable<Tenant>;
    /** Number of daemons that have a part of the limits; undefined while it isn't known. */
    countDaemons(): number | undefined;
    /** Lists all daemons that take part in the mesh, this one included. */
    listMembers(): Iterable<AllocatorCandidate>;
    /** Lists the daemons with a connection. */
    listConnected(): ReadonlySet<string>;
    send(id: string, message: QuotaMessage): void;
}

/** Interval at which demands and grants that are due are sent. */
const TICK_MS = 100;
const CHOICE_INTERVAL_MS = 250;
/** Time for which an allocator may leave demands unanswered, and for which it isn't chosen after that. */
const SILENCE_LIMIT_MS = 1_250;
const SILENCE_RETENTION_MS = 5_000;
/** Time after the start in which sessions are opened, so that this daemon doesn't take itself for the only one. */
const SELF_CHOICE_DELAY_MS = 4_000;
/** Daemons with which sessions are kept as allocators: the first by rank, and the one that takes its place. */
const KEPT_ALLOCATORS = 2;
const LARGEST_RUN = 0xFFFF_FFFE;

export class QuotaManager {
    readonly #options: QuotaManagerOptions;
    readonly #choice = new AllocatorChoice();
    readonly #client: QuotaClient;
    readonly #allocator: QuotaAllocator;
    readonly #startedAt: number;
    #limits = new TenantLimits([]);
    #stopTicks: () => void = () => undefined;
    #chosenAt = -Infinity;
    #isOwnShareUsed = false;
    /** Time of the first demand that the present allocator hasn't answered. */
    #unansweredSince: number | undefined;
    readonly #silentAt = new Map<string, number>();
    readonly #totals = { demands: 0, grants: 0, refused: 0, served: 0 };

    constructor(options: QuotaManagerOptions) {
        this.#options = options;
        const { isFirst, now, random, windowMs } = options;
        this.#startedAt = now();
        // Demands and grants name the processes that they are for; 0 stands for an unknown one.
        const run = 1 + Math.floor(random() * LARGEST_RUN);
        this.#client = new QuotaClient({ isFirst, limits: this.#limits, run, windowMs }, this.#startedAt);
        this.#allocator = new QuotaAllocator(run, this.#limits, windowMs);
    }

    get isInUse(): boolean {
        return this.#limits.size > 0;
    }

    get limitedTenants(): number {
        return this.#limits.size;
    }

    get totals(): Readonly<Record<"demands" | "grants" | "refused" | "served", number>> {
        return this.#totals;
    }

    /** Part of all limits that is lent to this daemon as the allocator. */
    readLentShare(): number {
        return this.#allocator.readWeight(this.#options.now());
    }

    start(): void {
        this.applyTenants();
        this.#stopTicks = scheduleRepeating(this.#options.timers, () => TICK_MS, TICK_MS, () => this.#tick());
    }

    /** Stops lending and using the share: others count without this daemon soon. */
    end(): void {
        this.#client.lender.end();
    }

    stop(): void {
        this.#stopTicks();
    }

    /** Puts the limits of the tenants in force, after the configuration has changed. */
    applyTenants(): void {
        const limits = new TenantLimits(this.#options.listTenants());
        if (limits.isEqual(this.#limits)) {
            return;
        }
        this.#options.log.info("limits of tenants are in force.", { before: this.#limits.size, tenants: limits.size });
        this.#limits = limits;
        this.#client.setLimits(limits, this.#options.now());
        this.#allocator.setLimits(limits);
    }

    /**
     * Takes a request's part of its tenant's limit. Returns undefined if it may proceed, otherwise the milliseconds after
     * which its caller should come again. `now` is a time of the clock that counts suspension.
     */
    take(tenant: Tenant, now: number): number | undefined {
        if (this.#limits.get(tenant.name) === undefined) {
            return undefined;
        }
        const retryAfterMs = this.#client.holder.take(tenant.name, now);
        if (retryAfterMs === undefined) {
            this.#totals.served++;
        }
        else {
            this.#totals.refused++;
        }
        return retryAfterMs;
    }

    /** Daemons with which sessions are wanted, so that demands and grants reach them at once. */
    listWanted(isExcluded: (id: string) => boolean): readonly string[] {
        if (!this.isInUse) {
            return [];
        }
        const others = [...this.#options.listMembers()].filter(({ id }) => !isExcluded(id));
        const ranked = this.#choice.rank(others).slice(0, KEPT_ALLOCATORS).filter(id => id !== this.#options.selfId);
        const { current } = this.#choice;
        return current === undefined || current === this.#options.selfId ? ranked : [current, ...ranked];
    }

    handle(id: string, message: QuotaMessage, transitMs: number): void {
        if (message.kind === "quotaDemand") {
            this.#handleDemand(id, message, transitMs);
            return;
        }
        if (id === this.#choice.current) {
            this.#unansweredSince = undefined;
        }
        this.#client.handleGrant(id, message, this.#options.now());
    }

    /** Limits, their use here, and where their parts are as far as this daemon is the allocator; for operators. */
    describe(): QuotaReport {
        const { now, windowMs } = this.#options;
        const uses = this.#client.holder.list(now());
        return {
            allocator: this.#choice.current,
            isOwnShareUsed: this.#isOwnShareUsed,
            lentShare: this.readLentShare(),
            tenants: uses.map(use => ({ ...use, shares: this.#allocator.listShares(use.limit.name) })),
            windowMs,
        };
    }

    #tick(): void {
        if (!this.isInUse) {
            return;
        }
        const now = this.#options.now();
        const count = this.#options.countDaemons();
        if (count !== undefined) {
            this.#client.lender.recordCount(count, now);
        }
        if (now - this.#chosenAt >= CHOICE_INTERVAL_MS) {
            this.#chosenAt = now;
            this.#chooseAllocator(now);
        }
        if (this.#client.isDue(now)) {
            this.#sendDemands(now);
        }
        for (const { id, run } of this.#allocator.listDue(now)) {
            this.#sendGrant(id, run, now);
        }
        this.#recordShareUse(now);
    }

    #chooseAllocator(now: number): void {
        const { listConnected, listMembers, log, selfId } = this.#options;
        const before = this.#choice.current;
        if (
            this.#unansweredSince !== undefined && now - this.#unansweredSince > SILENCE_LIMIT_MS
            && before !== undefined
        ) {
            this.#silentAt.set(before, now);
            this.#unansweredSince = undefined;
        }
        const connected = listConnected();
        const members = [...listMembers()];
        const canBeSelf = now - this.#startedAt > SELF_CHOICE_DELAY_MS || this.#choice.rank(members)[0] === selfId;
        const candidates = members.filter(({ id }) =>
            id === selfId
                ? canBeSelf
                : connected.has(id) && now - (this.#silentAt.get(id) ?? -Infinity) > SILENCE_RETENTION_MS
        );
        const after = this.#choice.update(candidates, now);
        if (after !== before) {
            this.#unansweredSince = undefined;
            this.#silentAt.forEach((at, id) => now - at > SILENCE_RETENTION_MS && this.#silentAt.delete(id));
            log.info(`allocator of quotas is ${after ?? "unknown"}.`, { after, before, candidates: candidates.length });
            this.#client.setAllocator(after);
        }
    }

    #sendDemands(now: number): void {
        const { readSendingTime, selfId, send } = this.#options;
        for (const { allocatorId, demand } of this.#client.buildDemands(now)) {
            this.#totals.demands++;
            if (allocatorId === selfId) {
                this.#handleDemand(selfId, demand, 0);
                continue;
            }
            if (allocatorId === this.#choice.current) {
                this.#unansweredSince ??= now;
            }
            // Rounded down, so that the message seems to have been on its way for longer.
            send(allocatorId, { ...demand, kind: "quotaDemand", sentAt: Math.floor(readSendingTime()) });
        }
    }

    #handleDemand(id: string, demand: QuotaDemand, transitMs: number): void {
        const now = this.#options.now();
        if (this.isInUse && this.#allocator.handleDemand(id, demand, transitMs, now)) {
            this.#sendGrant(id, demand.run, now);
        }
    }

    #sendGrant(id: string, run: number, now: number): void {
        const grant = this.#allocator.buildGrant(id, run, now);
        if (grant === undefined) {
            return;
        }
        this.#totals.grants++;
        if (id === this.#options.selfId) {
            this.#client.handleGrant(id, grant, now);
        }
        else {
            this.#options.send(id, { ...grant, kind: "quotaGrant" });
        }
    }

    #recordShareUse(now: number): void {
        const { lender } = this.#client;
        const isOwnShareUsed = now >= lender.ownFrom;
        if (isOwnShareUsed !== this.#isOwnShareUsed) {
            this.#isOwnShareUsed = isOwnShareUsed;
            this.#options.log.info(
                isOwnShareUsed ? "own share of quotas is used: it isn't lent." : "own share of quotas is lent.",
                { allocator: this.#choice.current, daemons: lender.divisor },
            );
        }
    }
}

export interface QuotaReport {
    readonly allocator: string | undefined;
    readonly isOwnShareUsed: boolean;
    readonly lentShare: number;
    readonly windowMs: number;
    readonly tenants:
        readonly (TenantUse & { readonly shares: readonly { readonly id: string; readonly quota: number; }[]; })[];
}
