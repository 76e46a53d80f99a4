/** Maps HTTP answers and socket failures to the errors of the store port. */
import type { StoreError, StoreRefused } from "../../state/store/index.js";

/** Reasons of refusals by status; a request answered with one of these had no effect. */
const REFUSAL_REASONS: ReadonlyMap<number, StoreRefused["reason"]> = new Map([
    [400, "invalid"],
    [412, "condition"],
    [413, "too-large"],
    [429, "rate"],
]);

const UNAVAILABLE_STATUS = 503;

/** Failures before a connection was established, so that no request was sent. */
const CONNECT_FAILURES: ReadonlySet<string> = new Set([
    "EADDRNOTAVAIL",
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "ENOTFOUND",
    "UND_ERR_CLOSED",
    "UND_ERR_CONNECT_TIMEOUT",
]);

/** Maximum characters of an answer that an error quotes. */
const MAXIMUM_DETAIL_LENGTH = 200;

function parseErrorMessage(text: string): string {
    try {
        const answer = JSON.parse(text) as { readonly error?: { readonly message?: unknown; }; } | null;
        return String(answer?.error?.message ?? text).slice(0, MAXIMUM_DETAIL_LENGTH);
    }
    catch {
        return text.slice(0, MAXIMUM_DETAIL_LENGTH);
    }
}

/** Classifies a status that is not a success. */
export function classifyStatus(status: number, text: string): StoreError {
    const detail = parseErrorMessage(text);
    const reason = REFUSAL_REASONS.get(status);
    if (reason !== undefined) {
        return { detail, kind: "refused", reason };
    }
    return status === UNAVAILABLE_STATUS
        ? { detail, kind: "unreachable" }
        : { detail: `The store answered with status ${status}: ${detail}`, kind: "unknown" };
}

/** Classifies a failure without an answer. Only a failure to connect proves that the request was not sent. */
export function classifyFailure(error: unknown): StoreError {
    const { code, message, name } = error as {
        readonly code?: string;
        readonly message?: string;
        readonly name?: string;
    };
    if (code !== undefined && CONNECT_FAILURES.has(code)) {
        return { detail: `No connection to the store: ${message ?? code}.`, kind: "unreachable" };
    }
    if (code === "UND_ERR_INVALID_ARG") {
        return { detail: `The request can't be sent: ${message ?? code}.`, kind: "refused", reason: "invalid" };
    }
    const detail = name === "TimeoutError" ? "no answer in time" : message ?? "the connection closed";
    return { detail: `The store's answer was lost: ${detail}.`, kind: "unknown" };
}
