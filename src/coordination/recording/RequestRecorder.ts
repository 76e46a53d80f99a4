/** One decision to place a request at an owner, with what it was decided from. */
export interface PlacementRecord {
    /** Id of the owner. */
    readonly server: string;
    /** Why the request was placed: `first`, or how the placement before it ended. */
    readonly cause: string;
    /** Expected time until the answer. */
    readonly expectedMs: number;
    /** Age of the owner's last report, and its load there; undefined when none was known. */
    readonly loadAgeMs: number | undefined;
    readonly running: number | undefined;
    readonly queued: number | undefined;
    /** How it ended; undefined when the request ended before. */
    readonly end: string | undefined;
}

/** One finished request as the proxy saw it; the source of histograms, counters and the access log. */
export interface RequestRecord {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly route: string | undefined;
    readonly service: string | undefined;
    readonly class: string | undefined;
    readonly status: number;
    /** Value of `papayaturn-outcome`. */
    readonly outcome: string;
    readonly attempts: number;
    /** How the last attempt reached its server: `local`, `direct` (slot lease) or `relayed`. */
    readonly hop: string | undefined;
    /** Id of the member that answered. */
    readonly server: string | undefined;
    readonly latencyMs: number;
    readonly queuedMs: number;
    /** Why the request ended as it did, when it was not simply answered. */
    readonly detail?: string | undefined;
    /** Revision of the configuration that routed the request. */
    readonly revision?: number | undefined;
    /** Where the request was placed, when it was not simply answered by the first owner. */
    readonly placements?: readonly PlacementRecord[] | undefined;
}

/** Counted events: `refused`, `retried` or `ejected`, each with its reason. */
export interface CountedEvent {
    readonly kind: "refused" | "retried" | "ejected";
    readonly reason: string;
    readonly service: string | undefined;
    readonly class: string | undefined;
}

export interface RequestRecorder {
    record(record: RequestRecord): void;
    count(event: CountedEvent): void;
}
