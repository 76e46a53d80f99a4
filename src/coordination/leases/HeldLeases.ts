import { EARLY_RENEWAL_INTERVAL_MS, LEASE_DURATION_MS, LEASE_IDLE_TIMEOUT_MS } from "./LeaseConstants.js";

/** Factor by which the recorded peak concurrency decays at each renewal. */
const PEAK_DECAY = 0.7;
/** Slots requested beyond the peak concurrency, so that additional requests can be sent directly at once. */
const HEADROOM_SLOTS = 1;

interface HeldLease {
    granted: number;
    expiresAt: number;
    /** Direct requests in flight. */
    inUse: number;
    readonly inUseByClass: Map<string, number>;
    /** Direct and relayed requests in flight. */
    running: number;
    peakRunning: number;
    sent: number;
    lastUsedAt: number;
    /** Slots requested by the last renewal, and the time of that renewal. */
    requestedSlots: number;
    requestedAt: number;
}

/** The class of a request and the highest share of slots that it may use, 0 to 1. */
export interface ClassShare {
    readonly class: string;
    readonly maximumShare: number;
}

/** A renewal that the holder sends to one owner. */
export interface RenewalPlan {
    readonly owner: string;
    readonly wanted: number;
    readonly inUse: number;
    readonly sent: number;
}

/** Holder's side of slot leases: which servers this daemon may send to directly, and how many slots it requests. */
export class HeldLeases {
    readonly #leases = new Map<string, HeldLease>();

    /** Whether a request can be sent directly to the server of `owner` now. */
    hasFreeSlot(owner: string, now: number): boolean {
        const lease = this.#leases.get(owner);
        return lease !== undefined && now < lease.expiresAt && lease.inUse < lease.granted;
    }

    /** Acquires a slot for one direct request; false if none is free or the class uses its share of the lease. */
    acquireSlot(owner: string, sharing: ClassShare, now: number): boolean {
        if (!this.hasFreeSlot(owner, now)) {
            return false;
        }
        const lease = this.#getOrCreate(owner, now);
        const usedByClass = lease.inUseByClass.get(sharing.class) ?? 0;
        if (usedByClass >= sharing.maximumShare * lease.granted) {
            return false;
        }
        lease.inUse++;
        lease.inUseByClass.set(sharing.class, usedByClass + 1);
        return true;
    }

    releaseSlot(owner: string, className: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.inUse--;
            lease.inUseByClass.set(className, (lease.inUseByClass.get(className) ?? 1) - 1);
        }
    }

    /**
     * Records the start of a request to the server of `owner`. True if a renewal should be sent at once:
     * for the first request, and when more requests are in flight than slots were last requested.
     */
    recordStart(owner: string, now: number): boolean {
        const lease = this.#getOrCreate(owner, now);
        lease.running++;
        lease.sent++;
        lease.lastUsedAt = now;
        lease.peakRunning = Math.max(lease.peakRunning, lease.running);
        return lease.running > lease.requestedSlots && now - lease.requestedAt >= EARLY_RENEWAL_INTERVAL_MS;
    }

    recordEnd(owner: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.running--;
        }
    }

    /** Lists the owners of the servers in use. */
    listOwners(): string[] {
        return [...this.#leases.keys()];
    }

    /** Plans the renewal that is sent now and starts a new measuring interval. */
    planRenewal(owner: string, now: number): RenewalPlan {
        const lease = this.#getOrCreate(owner, now);
        const isIdle = lease.running === 0 && now - lease.lastUsedAt >= LEASE_IDLE_TIMEOUT_MS;
        const plan: RenewalPlan = {
            owner,
            wanted: isIdle ? 0 : Math.ceil(lease.peakRunning) + HEADROOM_SLOTS,
            inUse: lease.inUse,
            sent: lease.sent,
        };
        lease.peakRunning = Math.max(lease.running, lease.peakRunning * PEAK_DECAY);
        lease.sent = 0;
        lease.requestedSlots = plan.wanted;
        lease.requestedAt = now;
        if (isIdle) {
            this.#leases.delete(owner);
        }
        return plan;
    }

    /** Plans the return of all leases; no request may be sent under them afterwards. */
    planReturns(): RenewalPlan[] {
        return [...this.#leases].map(([owner, lease]) => {
            lease.granted = 0;
            return { owner, wanted: 0, inUse: lease.inUse, sent: lease.sent };
        });
    }

    /** Applies an owner's answer; `sentAt` is the time at which the renewal was sent. */
    applyGrant(owner: string, granted: number, sentAt: number): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.granted = granted;
            lease.expiresAt = sentAt + LEASE_DURATION_MS;
        }
    }

    /** Revokes a lease at once, for example because the server is leaving. */
    revoke(owner: string): void {
        const lease = this.#leases.get(owner);
        if (lease !== undefined) {
            lease.granted = 0;
        }
    }

    /** Returns the slots that `owner` leases to this daemon now, for status and `explain`. */
    countGranted(owner: string, now: number): number {
        const lease = this.#leases.get(owner);
        return lease !== undefined && now < lease.expiresAt ? lease.granted : 0;
    }

    #getOrCreate(owner: string, now: number): HeldLease {
        let lease = this.#leases.get(owner);
        if (lease === undefined) {
            lease = {
                granted: 0,
                expiresAt: 0,
                inUse: 0,
                inUseByClass: new Map(),
                running: 0,
                peakRunning: 0,
                sent: 0,
                lastUsedAt: now,
                requestedSlots: 0,
                requestedAt: Number.NEGATIVE_INFINITY,
            };
            this.#leases.set(owner, lease);
        }
        return lease;
    }
}
