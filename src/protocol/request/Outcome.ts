/** Known execution state of a request; value of the header `papayaturn-outcome`. */
export const Outcome = {
    Answered: "answered",
    /** The stored answer of an earlier run with the same key. */
    Replayed: "replayed",
    /** Certainly not run. */
    NotRun: "not-run",
    /** May have run. */
    Unknown: "unknown",
    /** Ran before under the same key; the answer is no longer stored. */
    AlreadyRan: "already-ran",
} as const;
export type Outcome = (typeof Outcome)[keyof typeof Outcome];

/** Why a request was not run. */
export const RefusalReason = {
    Unsettled: "unsettled",
    NoRoute: "no-route",
    NoServer: "no-server",
    BadRequest: "bad-request",
    MissingKey: "missing-key",
    RequestTooLarge: "request-too-large",
    HeadersTooLarge: "headers-too-large",
    UpgradeRefused: "upgrade-refused",
    ExpectationFailed: "expectation-failed",
    Overloaded: "overloaded",
    ClassLimit: "class-limit",
    Deadline: "deadline",
    Cancelled: "cancelled",
    ServerUnreachable: "server-unreachable",
    ServerLeaving: "server-leaving",
    DaemonUnreachable: "daemon-unreachable",
    Stopping: "stopping",
    ClaimRefused: "claim-refused",
    Forbidden: "forbidden",
    /** The relayed request was intended for another daemon or service. */
    Misdirected: "misdirected",
    /** The request crashes the servers that run it. */
    Quarantined: "quarantined",
    /** The request may have crashed servers, and has to wait until they are back. */
    Suspected: "suspected",
    /** A newer version of the configuration doesn't lead the request to this service. */
    Outdated: "outdated",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

const REFUSAL_STATUSES: Partial<Record<RefusalReason, number>> = {
    [RefusalReason.NoRoute]: 404,
    [RefusalReason.BadRequest]: 400,
    [RefusalReason.MissingKey]: 400,
    [RefusalReason.RequestTooLarge]: 413,
    [RefusalReason.HeadersTooLarge]: 431,
    [RefusalReason.UpgradeRefused]: 501,
    [RefusalReason.ExpectationFailed]: 417,
    [RefusalReason.ClassLimit]: 429,
    [RefusalReason.Forbidden]: 403,
    [RefusalReason.Quarantined]: 400,
};
const UNAVAILABLE_STATUS = 503;

/** HTTP status of the answer to a request that was not run for this reason. */
export function getRefusalStatus(reason: RefusalReason): number {
    return REFUSAL_STATUSES[reason] ?? UNAVAILABLE_STATUS;
}

const REFUSAL_REASONS = new Set<string>(Object.values(RefusalReason));

/** Parses a reason that another daemon sent; undefined when this version doesn't know it. */
export function parseRefusalReason(text: string | undefined): RefusalReason | undefined {
    return text !== undefined && REFUSAL_REASONS.has(text) ? text as RefusalReason : undefined;
}

const OUTCOMES = new Set<string>(Object.values(Outcome));

export function parseOutcome(text: string | undefined): Outcome | undefined {
    return text !== undefined && OUTCOMES.has(text) ? text as Outcome : undefined;
}
