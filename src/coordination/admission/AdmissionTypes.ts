/** Current limits, which change with the document and the slot leases. */
export interface AdmissionLimits {
    /** Slots that the owner may use itself: the server's slots minus the leased ones. */
    readonly slots: number;
    readonly queueLength: number;
}

/** A request for a slot. */
export interface AdmissionRequest {
    readonly class: string;
    readonly weight: number;
    /** Maximum share of the slots for the class, 0 to 1. */
    readonly maximumShare: number;
    /** Time in milliseconds until which the request may be queued. */
    readonly deadline: number;
    /** Called when a queued request gets its slot. */
    readonly onGrant: () => void;
    /** Called when a queued request is refused because its deadline passed or it was evicted for another class. */
    readonly onRefuse: (refusal: AdmissionRefusal) => void;
}

export interface AdmissionRefusal {
    readonly reason: "overloaded" | "class-limit" | "deadline";
    readonly retryAfterMs: number;
}

export type AdmissionDecision =
    | { readonly kind: "granted"; }
    | { readonly kind: "queued"; }
    | { readonly kind: "refused"; readonly refusal: AdmissionRefusal; };
