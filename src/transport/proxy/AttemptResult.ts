import type { Outcome, RefusalReason } from "../../protocol/request/index.js";

/** How one attempt to have a request executed ended. */
export type AttemptResult =
    /** An answer reached its end and was passed on whole. */
    | { readonly kind: "answered"; readonly status: number; readonly outcome: Outcome; }
    /** An answer was begun and broke off; the caller's connection was closed so that it sees the cut. */
    | { readonly kind: "cut"; readonly status: number; readonly detail: string; }
    /** Certainly not run; nothing was sent to the caller. */
    | {
        readonly kind: "not-run";
        readonly reason: RefusalReason;
        readonly detail: string;
        readonly retryAfterMs?: number;
    }
    /** May have run; nothing was sent to the caller. */
    | { readonly kind: "unknown"; readonly status: number; readonly detail: string; }
    /** The server answered that it cannot serve now; the answer was withheld because a retry was taken. */
    | { readonly kind: "withheld"; readonly status: number; };

export function buildRefusal(reason: RefusalReason, detail: string, retryAfterMs?: number): AttemptResult {
    return retryAfterMs === undefined
        ? { kind: "not-run", reason, detail }
        : { kind: "not-run", reason, detail, retryAfterMs };
}

/** No answer came although the request may have reached the server. */
export const NO_ANSWER_STATUS = 502;
/** The deadline passed while the request may have been running. */
export const DEADLINE_EXCEEDED_STATUS = 504;
/** The request ran before under its key, and the answer is no longer held. */
export const ALREADY_RAN_STATUS = 409;
