/** Limits that hold at one moment; they follow the document and the slot leases. */
export interface AdmissionLimits {
    /** Slots that the owner may use itself: all of the server's less the leased ones. */
    readonly slots: number;
    readonly queueLength: number;
}

/** A request that asks for a slot. */
export interface AdmissionRequest {
    readonly class: string;
    readonly weight: number;
    /** Highest share of the slots for the class, 0 to 1. */
    readonly maximumShare: number;
    /** Time at which waiting is over, milliseconds. */
    readonly deadline: number;
    /** Called when a queued request gets its slot. */
    readonly onGrant: () => void;
    /** Called when a queued request is refused: it waited too long or gave way to another class. */
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
