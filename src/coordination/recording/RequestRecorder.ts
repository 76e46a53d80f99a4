/** A placement of a request at an owner, with the load on which the decision was based. */
export interface PlacementRecord {
    /** Id of the owner. */
    readonly server: string;
    /** Why the request was placed: `first`, or how the previous placement ended. */
    readonly cause: string;
    /** Expected latency of the answer. */
    readonly expectedMs: number;
    /** Age of the owner's last load report, and the load in it; undefined when there was none. */
    readonly loadAgeMs: number | undefined;
    readonly running: number | undefined;
    readonly queued: number | undefined;
    /** How the placement ended; undefined when the request ended first. */
    readonly end: string | undefined;
}

/** A finished request as seen by the proxy; the source of histograms, counters and the access log. */
export interface RequestRecord {
    readonly requestId: string;
    readonly method: string;
    readonly path: string;
    readonly route: string | undefined;
    readonly service: string | undefined;
    readonly class: string | undefined;
    readonly status: number;
    /** Name of the tenant whose key the caller has. */
    readonly tenant?: string | undefined;
    /** Value of `papayaturn-outcome`. */
    readonly outcome: string;
    readonly attempts: number;
    /** How the last attempt reached its server: `local`, `direct` (slot lease) or `relayed`. */
    readonly hop: string | undefined;
    /** Id of the member that answered. */
    readonly server: string | undefined;
    /** By which the server marks the run whose answer was passed on. */
    readonly signature?: string | undefined;
    readonly latencyMs: number;
    readonly queuedMs: number;
    /** Why the request was not answered normally. */
    readonly detail?: string | undefined;
    /** Version of the configuration that routed the request. */
    readonly version?: number | undefined;
    /** Time since no newer version was known to be in the store when the request was routed; undefined when unknown. */
    readonly confirmedAgeMs?: number | undefined;
    /** Revision of that version in the store. */
    readonly revision?: number | undefined;
    /** Placements of the request, unless the first owner answered it. */
    readonly placements?: readonly PlacementRecord[] | undefined;
}

/** An event that is counted by kind and reason. */
export interface CountedEvent {
    readonly kind: "refused" | "retried" | "ejected" | "hedged" | "not-hedged";
    readonly reason: string;
    readonly service: string | undefined;
    readonly class: string | undefined;
}

export interface RequestRecorder {
    record(record: RequestRecord): void;
    count(event: CountedEvent): void;
}
