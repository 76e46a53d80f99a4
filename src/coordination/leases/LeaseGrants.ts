import { DISPLACEMENT_FACTOR, LEASE_DURATION_MS, MAXIMUM_OWED_SHARE, RESERVED_SLOTS } from "./LeaseConstants.js";

/** A holder's request for slots. */
export interface LeaseRequest {
    readonly holder: string;
    readonly wanted: number;
    /** Slots that the holder's requests still use. */
    readonly inUse: number;
    /** Requests that the holder sent to the server since its last renewal. */
    readonly sent: number;
}

/** State of the server at the moment of a renewal. */
export interface GrantLimits {
    readonly serverSlots: number;
    /** Slots that the owner's own and relayed requests use. */
    readonly ownRunning: number;
    readonly ownQueued: number;
    /** False while the server is leaving. */
    readonly isLeasable: boolean;
    /** Maximum time for which a request sent under a lease may run after the lease has expired. */
    readonly longestRequestMs: number;
}

/** Slots granted by one answer. The holder may use them until they expire, because later answers can be lost. */
interface IssuedGrant {
    readonly slots: number;
    readonly expiresAt: number;
}

interface HolderState {
    readonly granted: number;
    readonly wanted: number;
    readonly sent: number;
    /** Slots counted as used: the maximum of all unexpired grants and the slots that running requests use. */
    readonly held: number;
    readonly issued: readonly IssuedGrant[];
    /** Slots that the holder is entitled to but that are still in use by others. */
    readonly owed: number;
    readonly owedUntil: number;
    /** Time until which the slots of a holder that no longer renews count as used. */
    readonly heldUntil: number;
}

/**
 * Owner's side of slot leases. The sum of leased slots and own slots never exceeds the server's
 * slots. An expired lease whose holder did not report counts until its last request must have ended.
 */
export class LeaseGrants {
    readonly #holders = new Map<string, HolderState>();
    readonly #displaced = new Set<string>();
    readonly #grantsAllowedFrom: number;

    /**
     * Leases that were granted before a restart of the owner are unknown, so none is granted until they
     * have expired, one lease duration after `startedAt`.
     */
    constructor(startedAt: number) {
        this.#grantsAllowedFrom = startedAt + LEASE_DURATION_MS;
    }

    /** Returns the slots that the owner itself may use now. */
    countOwnSlots(serverSlots: number, now: number): number {
        const reserved = Math.min(RESERVED_SLOTS, serverSlots);
        if (now < this.#grantsAllowedFrom) {
            return reserved;
        }
        const unheld = Math.max(0, serverSlots - this.countHeldSlots(now));
        return Math.min(unheld, Math.max(reserved, unheld - this.#countOwedSlots(serverSlots, now)));
    }

    /** Returns the slots kept free for the next renewals; only a few, because they are idle until then. */
    #countOwedSlots(serverSlots: number, now: number): number {
        let owed = 0;
        for (const state of this.#holders.values()) {
            owed += state.owedUntil > now ? state.owed : 0;
        }
        return Math.min(owed, Math.max(1, Math.floor(serverSlots * MAXIMUM_OWED_SHARE)));
    }

    /** Returns the slots that count as used by holders. */
    countHeldSlots(now: number): number {
        let held = 0;
        for (const [holder, state] of this.#holders) {
            if (state.heldUntil <= now) {
                this.#holders.delete(holder);
                this.#displaced.delete(holder);
            }
            else {
                held += state.held;
            }
        }
        return held;
    }

    /** Handles a renewal; returns the slots granted for the lease duration, possibly 0. */
    renew(request: LeaseRequest, limits: GrantLimits, now: number): number {
        const heldByOthers = this.countHeldSlots(now) - (this.#holders.get(request.holder)?.held ?? 0);
        const free = limits.serverSlots - Math.max(RESERVED_SLOTS, limits.ownRunning) - heldByOthers;
        const entitled = this.#isEligible(request, limits, now)
            ? Math.min(request.wanted, this.#computeShare(request, limits))
            : 0;
        const growable = free - this.#countSlotsOwedToBusierHolders(request, now);
        const renewable = Math.min(free, this.#holders.get(request.holder)?.granted ?? 0);
        const granted = Math.max(0, Math.min(entitled, Math.max(growable, renewable)));
        if (granted === 0 && request.wanted > 0 && limits.isLeasable) {
            this.#displaceLeastUsed(request);
        }
        this.#displaced.delete(request.holder);
        this.#recordGrant(request, granted, entitled - granted, limits, now);
        return granted;
    }

    /** Returns the slots owed to busier holders; without them a displaced holder could reclaim its slot first. */
    #countSlotsOwedToBusierHolders(request: LeaseRequest, now: number): number {
        let owed = 0;
        for (const [holder, state] of this.#holders) {
            const isBusier = state.sent > request.sent || state.sent === request.sent && holder < request.holder;
            owed += holder !== request.holder && isBusier && state.owedUntil > now ? state.owed : 0;
        }
        return owed;
    }

    #isEligible(request: LeaseRequest, limits: GrantLimits, now: number): boolean {
        return limits.isLeasable && now >= this.#grantsAllowedFrom && !this.#displaced.has(request.holder);
    }

    /** Returns the wanted slots if the total demand fits, else a share in proportion to the holder's demand. */
    #computeShare(request: LeaseRequest, limits: GrantLimits): number {
        const leasable = limits.serverSlots - RESERVED_SLOTS;
        let demand = request.wanted + Math.max(0, limits.ownRunning + limits.ownQueued - RESERVED_SLOTS);
        for (const [holder, state] of this.#holders) {
            if (holder !== request.holder) {
                demand += state.granted > 0 ? state.wanted : 0;
            }
        }
        return demand <= leasable ? request.wanted : Math.max(1, Math.floor(leasable * request.wanted / demand));
    }

    /** Marks the holder with the fewest requests as displaced if the requester sent clearly more. */
    #displaceLeastUsed(requester: LeaseRequest): void {
        let leastUsed: { readonly holder: string; readonly sent: number; } | undefined;
        for (const [holder, state] of this.#holders) {
            if (
                holder !== requester.holder && state.granted > 0
                && (leastUsed === undefined || state.sent < leastUsed.sent)
            ) {
                leastUsed = { holder, sent: state.sent };
            }
        }
        if (leastUsed !== undefined && requester.sent > leastUsed.sent * DISPLACEMENT_FACTOR) {
            this.#displaced.add(leastUsed.holder);
        }
    }

    #recordGrant(request: LeaseRequest, granted: number, owed: number, limits: GrantLimits, now: number): void {
        if (request.wanted === 0 && request.inUse === 0) {
            this.#holders.delete(request.holder);
            return;
        }
        const unexpired = this.#holders.get(request.holder)?.issued.filter(grant => grant.expiresAt > now) ?? [];
        const issued = [...unexpired, { slots: granted, expiresAt: now + LEASE_DURATION_MS }];
        this.#holders.set(request.holder, {
            granted,
            wanted: request.wanted,
            sent: request.sent,
            held: Math.max(request.inUse, ...issued.map(grant => grant.slots)),
            issued,
            owed,
            owedUntil: now + LEASE_DURATION_MS,
            heldUntil: now + LEASE_DURATION_MS + limits.longestRequestMs,
        });
    }
}
