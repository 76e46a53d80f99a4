import { LEASE_IDLE_MS, LEASE_MS } from "./LeaseConstants.js";

/** Part of the highest concurrency that remains after an interval without such concurrency. */
const PEAK_DECAY = 0.7;
/** Slots asked for beyond the highest concurrency, so that growth goes direct at once. */
const HEADROOM_SLOTS = 1;

interface HeldLease {
    granted: number;
    expiresAt: number;
    /** Direct requests that work now. */
    inUse: number;
    readonly inUseByClass: Map<string, number>;
    /** Direct and relayed requests that work now. */
    working: number;
    peak: number;
    sent: number;
    lastUsedAt: number;
}

/** The class of a request and the highest share of slots that it may use, 0 to 1. */
export interface SlotSharing {
    readonly class: string;
    readonly maximumShare: number;
}

/** What the holder asks of one owner now. */
export interface RenewalPlan {
    readonly owner: string;
    readonly wanted: number;
    readonly inUse: number;
    readonly sent: number;
}

/** Holder's side of slot leases: which servers this daemon may send to directly, and what it asks for. */
export class HeldLeases {
    readonly #leases = new Map<string, HeldLease>();

    /** Whether a request could go direct to the server of `owner` now. */
    hasFreeSlot(owner: string, now: number): boolean {
        const lease = this.#leases.get(owner);
        return lease !== undefined && now < lease.expiresAt && lease.inUse < lease.granted;
    }

    /** Takes a slot for one direct request; false when none is free or the class has its share of the lease. */
    takeSlot(owner: string, sharing: SlotSharing, now: number): boolean {
        if (!this.hasFreeSlot(owner, now)) {
            return false;
        }
        const lease = this.#find(owner, now);
        const usedByClass = lease.inUseByClass.get(sharing.class) ?? 0;
        if (usedByClass >= sharing.maximumShare * lease.granted) {
            return false;
        }
        lease.inUse++;
        lease.inUseByClass.set(sharing.class, usedByClass + 1);
        return true;
    }

    returnSlot(owner: string, className: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.inUse--;
            lease.inUseByClass.set(className, (lease.inUseByClass.get(className) ?? 1) - 1);
        }
    }

    /** Counts the begin of a request to the server of `owner`; true for the first one, which should apply at once. */
    noteBegin(owner: string, now: number): boolean {
        const isFirst = !this.#leases.has(owner);
        const lease = this.#find(owner, now);
        lease.working++;
        lease.sent++;
        lease.lastUsedAt = now;
        lease.peak = Math.max(lease.peak, lease.working);
        return isFirst;
    }

    noteEnd(owner: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.working--;
        }
    }

    /** Plans a renewal for each server in use and begins a new interval of counting. */
    planRenewals(now: number): RenewalPlan[] {
        return [...this.#leases.keys()].map(owner => this.planRenewal(owner, now));
    }

    planRenewal(owner: string, now: number): RenewalPlan {
        const lease = this.#find(owner, now);
        const isIdle = lease.working === 0 && now - lease.lastUsedAt >= LEASE_IDLE_MS;
        const plan: RenewalPlan = {
            owner,
            wanted: isIdle ? 0 : Math.ceil(lease.peak) + HEADROOM_SLOTS,
            inUse: lease.inUse,
            sent: lease.sent,
        };
        lease.peak = Math.max(lease.working, lease.peak * PEAK_DECAY);
        lease.sent = 0;
        if (isIdle) {
            this.#leases.delete(owner);
        }
        return plan;
    }

    /** Plans the return of all leases; nothing may be sent under them afterwards. */
    planReturns(): RenewalPlan[] {
        return [...this.#leases].map(([owner, lease]) => {
            lease.granted = 0;
            return { owner, wanted: 0, inUse: lease.inUse, sent: lease.sent };
        });
    }

    /** Applies an owner's answer; `sentAt` is when the renewal was sent. */
    applyGrant(owner: string, granted: number, sentAt: number): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.granted = granted;
            lease.expiresAt = sentAt + LEASE_MS;
        }
    }

    /** Ends a lease at once, for example because the server is leaving. */
    end(owner: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.granted = 0;
        }
    }

    /** Slots leased now, by owner; for status and `explain`. */
    countGranted(owner: string, now: number): number {
        const lease = this.#leases.get(owner);
        return lease !== undefined && now < lease.expiresAt ? lease.granted : 0;
    }

    #find(owner: string, now: number): HeldLease {
        let lease = this.#leases.get(owner);
        if (lease === undefined) {
            lease = {
                granted: 0,
                expiresAt: 0,
                inUse: 0,
                inUseByClass: new Map(),
                working: 0,
                peak: 0,
                sent: 0,
                lastUsedAt: now,
            };
            this.#leases.set(owner, lease);
        }
        return lease;
    }
}
