import { DISPLACEMENT_FACTOR, HIGHEST_OWED_SHARE, LEASE_MS, RESERVED_SLOTS } from "./LeaseConstants.js";

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
    readonly ownWorking: number;
    readonly ownQueued: number;
    /** False while the server is leaving. */
    readonly isLeasable: boolean;
    /** Longest time for which a request sent under a lease may still work after the lease lapsed. */
    readonly longestRequestMs: number;
}

/** Slots given by one answer; the holder may act by it until it lapses, since later answers can be lost. */
interface GivenSlots {
    readonly slots: number;
    readonly expiresAt: number;
}

interface Grant {
    readonly granted: number;
    readonly wanted: number;
    readonly sent: number;
    /** Slots counted as used: the most that an answer not yet lapsed gave, or more while older requests work. */
    readonly held: number;
    readonly given: readonly GivenSlots[];
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
    readonly #grants = new Map<string, Grant>();
    readonly #displaced = new Set<string>();
    readonly #mayGrantFrom: number;

    /** `startedAt`: leases given by an earlier run of this owner are unknown and lapse by then + `LEASE_MS`. */
    constructor(startedAt: number) {
        this.#mayGrantFrom = startedAt + LEASE_MS;
    }

    /** Slots that the owner itself may use now. */
    countOwnSlots(serverSlots: number, now: number): number {
        const reserved = Math.min(RESERVED_SLOTS, serverSlots);
        if (now < this.#mayGrantFrom) {
            return reserved;
        }
        const unheld = Math.max(0, serverSlots - this.countHeld(now));
        return Math.min(unheld, Math.max(reserved, unheld - this.#countOwed(serverSlots, now)));
    }

    /** Slots kept free for the next renewals; few at a time, since they are idle until then. */
    #countOwed(serverSlots: number, now: number): number {
        let owed = 0;
        for (const grant of this.#grants.values()) {
            owed += grant.owedUntil > now ? grant.owed : 0;
        }
        return Math.min(owed, Math.max(1, Math.floor(serverSlots * HIGHEST_OWED_SHARE)));
    }

    /** Slots that count as used by holders. */
    countHeld(now: number): number {
        let held = 0;
        for (const [holder, grant] of this.#grants) {
            if (grant.heldUntil <= now) {
                this.#grants.delete(holder);
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
        const heldByOthers = this.countHeld(now) - (this.#grants.get(request.holder)?.held ?? 0);
        const free = limits.serverSlots - Math.max(RESERVED_SLOTS, limits.ownWorking) - heldByOthers;
        const entitled = this.#mayGrant(request, limits, now)
            ? Math.min(request.wanted, this.#computeShare(request, limits))
            : 0;
        const growable = free - this.#countOwedBefore(request, now);
        const renewable = Math.min(free, this.#grants.get(request.holder)?.granted ?? 0);
        const granted = Math.max(0, Math.min(entitled, Math.max(growable, renewable)));
        if (granted === 0 && request.wanted > 0 && limits.isLeasable) {
            this.#displaceLeastUsed(request);
        }
        this.#displaced.delete(request.holder);
        this.#store(request, granted, entitled - granted, limits, now);
        return granted;
    }

    /** Slots owed to holders that send more; without them a displaced holder could take its slot back first. */
    #countOwedBefore(request: LeaseRequest, now: number): number {
        let owed = 0;
        for (const [holder, grant] of this.#grants) {
            const isBefore = grant.sent > request.sent || grant.sent === request.sent && holder < request.holder;
            owed += holder !== request.holder && isBefore && grant.owedUntil > now ? grant.owed : 0;
        }
        return owed;
    }

    #mayGrant(request: LeaseRequest, limits: GrantLimits, now: number): boolean {
        return limits.isLeasable && now >= this.#mayGrantFrom && !this.#displaced.has(request.holder);
    }

    /** All that is wanted while it fits; otherwise the part of the slots that fits the holder's part of the demand. */
    #computeShare(request: LeaseRequest, limits: GrantLimits): number {
        const leasable = limits.serverSlots - RESERVED_SLOTS;
        let demand = request.wanted + Math.max(0, limits.ownWorking + limits.ownQueued - RESERVED_SLOTS);
        for (const [holder, grant] of this.#grants) {
            if (holder !== request.holder) {
                demand += grant.granted > 0 ? grant.wanted : 0;
            }
        }
        return demand <= leasable ? request.wanted : Math.max(1, Math.floor(leasable * request.wanted / demand));
    }

    /** Marks the holder with the fewest requests to give its lease up when the applicant sends clearly more. */
    #displaceLeastUsed(applicant: LeaseRequest): void {
        let least: { readonly holder: string; readonly sent: number; } | undefined;
        for (const [holder, grant] of this.#grants) {
            if (holder !== applicant.holder && grant.granted > 0 && (least === undefined || grant.sent < least.sent)) {
                least = { holder, sent: grant.sent };
            }
        }
        if (least !== undefined && applicant.sent > least.sent * DISPLACEMENT_FACTOR) {
            this.#displaced.add(least.holder);
        }
    }

    #store(request: LeaseRequest, granted: number, owed: number, limits: GrantLimits, now: number): void {
        if (request.wanted === 0 && request.inUse === 0) {
            this.#grants.delete(request.holder);
            return;
        }
        const earlier = this.#grants.get(request.holder)?.given.filter(given => given.expiresAt > now) ?? [];
        const given = [...earlier, { slots: granted, expiresAt: now + LEASE_MS }];
        this.#grants.set(request.holder, {
            granted,
            wanted: request.wanted,
            sent: request.sent,
            held: Math.max(request.inUse, ...given.map(each => each.slots)),
            given,
            owed,
            owedUntil: now + LEASE_MS,
            heldUntil: now + LEASE_MS + limits.longestRequestMs,
        });
    }
}
