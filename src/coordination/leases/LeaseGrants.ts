import { DISPLACEMENT_FACTOR, LEASE_DURATION_MS, MAXIMUM_OWED_SHARE, RESERVED_SLOTS } from "./LeaseConstants.js";

/** A holder's request for slots. */
export interface LeaseRequest {
    readonly holder: string;
    readonly wanted: number;
    /** Slots in which the holder's requests still work. */
    readonly inUse: number;
    /** Requests that the holder sent to the server since its last renewal. */
    readonly sent: number;
}

/** State of the server at the moment of a renewal. */
export interface GrantLimits {
    readonly serverSlots: number;
    /** Slots in which the owner's own and relayed requests work. */
    readonly ownRunning: number;
    readonly ownQueued: number;
    /** False while the server is leaving. */
    readonly isLeasable: boolean;
    /** Longest time for which a request sent under a lease may still work after the lease lapsed. */
    readonly longestRequestMs: number;
}

/** Slots given by one answer; the holder may act by it until it lapses, since later answers can be lost. */
interface IssuedGrant {
    readonly slots: number;
    readonly expiresAt: number;
}

interface HolderState {
    readonly granted: number;
    readonly wanted: number;
    readonly sent: number;
    /** Slots counted as used: the most that an answer not yet lapsed gave, or more while older requests work. */
    readonly held: number;
    readonly issued: readonly IssuedGrant[];
    /** Slots that the holder is entitled to and that the owner's own requests still use. */
    readonly owed: number;
    readonly owedUntil: number;
    /** Until when slots of a holder that fell silent count as used. */
    readonly heldUntil: number;
}

/**
 * Owner's side of slot leases. The sum of leased slots and own slots never exceeds the server's
 * slots. A lapsed lease whose holder did not report counts on until its last request must have ended.
 */
export class LeaseGrants {
    readonly #holders = new Map<string, HolderState>();
    readonly #displaced = new Set<string>();
    readonly #grantsAllowedFrom: number;

    /** `startedAt`: leases given by an earlier run of this owner are unknown and lapse by then + `LEASE_MS`. */
    constructor(startedAt: number) {
        this.#grantsAllowedFrom = startedAt + LEASE_DURATION_MS;
    }

    /** Slots that the owner itself may use now. */
    countOwnSlots(serverSlots: number, now: number): number {
        const reserved = Math.min(RESERVED_SLOTS, serverSlots);
        if (now < this.#grantsAllowedFrom) {
            return reserved;
        }
        const unheld = Math.max(0, serverSlots - this.countHeldSlots(now));
        return Math.min(unheld, Math.max(reserved, unheld - this.#countOwedSlots(serverSlots, now)));
    }

    /** Slots kept free for the next renewals; few at a time, since they are idle until then. */
    #countOwedSlots(serverSlots: number, now: number): number {
        let owed = 0;
        for (const grant of this.#holders.values()) {
            owed += grant.owedUntil > now ? grant.owed : 0;
        }
        return Math.min(owed, Math.max(1, Math.floor(serverSlots * MAXIMUM_OWED_SHARE)));
    }

    /** Slots that count as used by holders. */
    countHeldSlots(now: number): number {
        let held = 0;
        for (const [holder, grant] of this.#holders) {
            if (grant.heldUntil <= now) {
                this.#holders.delete(holder);
                this.#displaced.delete(holder);
            }
            else {
                held += grant.held;
            }
        }
        return held;
    }

    /** Decides on a renewal; returns the slots granted for `LEASE_MS`, possibly 0. */
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

    /** Slots owed to holders that send more; without them a displaced holder could take its slot back first. */
    #countSlotsOwedToBusierHolders(request: LeaseRequest, now: number): number {
        let owed = 0;
        for (const [holder, grant] of this.#holders) {
            const isBefore = grant.sent > request.sent || grant.sent === request.sent && holder < request.holder;
            owed += holder !== request.holder && isBefore && grant.owedUntil > now ? grant.owed : 0;
        }
        return owed;
    }

    #isEligible(request: LeaseRequest, limits: GrantLimits, now: number): boolean {
        return limits.isLeasable && now >= this.#grantsAllowedFrom && !this.#displaced.has(request.holder);
    }

    /** All that is wanted while it fits; otherwise the part of the slots that fits the holder's part of the demand. */
    #computeShare(request: LeaseRequest, limits: GrantLimits): number {
        const leasable = limits.serverSlots - RESERVED_SLOTS;
        let demand = request.wanted + Math.max(0, limits.ownRunning + limits.ownQueued - RESERVED_SLOTS);
        for (const [holder, grant] of this.#holders) {
            if (holder !== request.holder) {
                demand += grant.granted > 0 ? grant.wanted : 0;
            }
        }
        return demand <= leasable ? request.wanted : Math.max(1, Math.floor(leasable * request.wanted / demand));
    }

    /** Marks the holder with the fewest requests to give its lease up when the applicant sends clearly more. */
    #displaceLeastUsed(applicant: LeaseRequest): void {
        let least: { readonly holder: string; readonly sent: number; } | undefined;
        for (const [holder, grant] of this.#holders) {
            if (holder !== applicant.holder && grant.granted > 0 && (least === undefined || grant.sent < least.sent)) {
                least = { holder, sent: grant.sent };
            }
        }
        if (least !== undefined && applicant.sent > least.sent * DISPLACEMENT_FACTOR) {
            this.#displaced.add(least.holder);
        }
    }

    #recordGrant(request: LeaseRequest, granted: number, owed: number, limits: GrantLimits, now: number): void {
        if (request.wanted === 0 && request.inUse === 0) {
            this.#holders.delete(request.holder);
            return;
        }
        const earlier = this.#holders.get(request.holder)?.issued.filter(given => given.expiresAt > now) ?? [];
        const given = [...earlier, { slots: granted, expiresAt: now + LEASE_DURATION_MS }];
        this.#holders.set(request.holder, {
            granted,
            wanted: request.wanted,
            sent: request.sent,
            held: Math.max(request.inUse, ...given.map(each => each.slots)),
            issued: given,
            owed,
            owedUntil: now + LEASE_DURATION_MS,
            heldUntil: now + LEASE_DURATION_MS + limits.longestRequestMs,
        });
    }
}
