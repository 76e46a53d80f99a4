import type { Outcome, RefusalReason } from "../../protocol/request/index.js";

/** Result of one attempt to execute a request. */
export type AttemptResult =
    /** A complete answer was passed to the caller. */
    | { readonly kind: "answered"; readonly status: number; readonly outcome: Outcome; }
    /** An answer broke off after its start; the caller's connection was reset, so that the caller notices. */
    | { readonly kind: "cut"; readonly status: number; readonly detail: string; }
    /** The request certainly was not run; nothing was sent to the caller. */
    | {
        readonly kind: "not-run";
        readonly reason: RefusalReason;
        readonly detail: string;
        readonly retryAfterMs?: number;
    }
    /** The request may have run; nothing was sent to the caller. */
    | { readonly kind: "unknown"; readonly status: number; readonly detail: string; }
    /** The server declined the request; its answer was withheld, because a retry was taken. */
    | { readonly kind: "withheld"; readonly status: number; };

export function buildRefusal(reason: RefusalReason, detail: string, retryAfterMs?: number): AttemptResult {
    return retryAfterMs === undefined
        ? { kind: "not-run", reason, detail }
        : { kind: "not-run", reason, detail, retryAfterMs };
}

/** Status when no answer came and the request may have reached the server. */
export const NO_ANSWER_STATUS = 502;
/** Status when the deadline passed while the request may have been running. */
export const DEADLINE_EXCEEDED_STATUS = 504;
/** Status when the request has already run under its key and its answer is not available. */
export const ALREADY_RAN_STATUS = 409;
