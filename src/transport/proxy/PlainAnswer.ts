import type { IncomingMessage } from "node:http";
import { getRefusalStatus, MeshHeader, Outcome, RefusalReason } from "../../protocol/request/index.js";
import type { AttemptResult } from "./AttemptResult.js";
import type { Exchange } from "./Exchange.js";
import { DEFAULT_RETRY_AFTER_MS } from "./ProxyConstants.js";
import type { ProxyContext } from "./ProxyContext.js";
import { hasUnreadBody } from "./RequestBody.js";

const MS_PER_SECOND = 1_000;
const SERVICE_UNAVAILABLE_STATUS = 503;
const TOO_MANY_REQUESTS_STATUS = 429;

/** Adds `connection: close` when this daemon stops or a part of the request's body is unread. */
export function appendConnectionClose(context: ProxyContext, request: IncomingMessage, headers: string[]): void {
    if (context.isStopping() || hasUnreadBody(request)) {
        headers.push("connection", "close");
    }
}

/** Sends a plain text answer of the daemon itself. */
export function sendPlainAnswer(
    exchange: Exchange,
    status: number,
    outcome: Outcome,
    text: string,
    extraHeaders: readonly string[] = [],
): void {
    const { response } = exchange;
    if (response.headersSent || response.destroyed) {
        return;
    }
    const headers = [
        "content-type",
        "text/plain; charset=utf-8",
        "content-length",
        String(Buffer.byteLength(text)),
        ...extraHeaders,
    ];
    exchange.appendAnswerHeaders(headers, outcome);
    response.writeHead(status, headers);
    response.end(text);
}

/** Sends the result to the caller if no server's answer was passed on; returns the status. */
export function sendResult(exchange: Exchange, result: AttemptResult): number {
    switch (result.kind) {
        case "answered":
        case "cut":
            return result.status;
        case "not-run": {
            const status = getRefusalStatus(result.reason);
            const headers: string[] = [MeshHeader.Reason, result.reason];
            if (status === SERVICE_UNAVAILABLE_STATUS || status === TOO_MANY_REQUESTS_STATUS) {
                const retryAfterMs = result.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
                headers.push("retry-after", String(Math.ceil(retryAfterMs / MS_PER_SECOND)));
            }
            sendPlainAnswer(exchange, status, Outcome.NotRun, `Not run: ${result.detail}.\n`, headers);
            return status;
        }
        case "unknown":
            sendPlainAnswer(exchange, result.status, Outcome.Unknown, `Outcome unknown: ${result.detail}.\n`);
            return result.status;
        case "withheld":
            sendPlainAnswer(exchange, result.status, Outcome.Unknown, "Outcome unknown: the server declined.\n");
            return result.status;
    }
}

/** Outcome of a result, for the access log and the histograms. */
export function getOutcome(result: AttemptResult): Outcome {
    switch (result.kind) {
        case "answered":
            return result.outcome;
        case "not-run":
            return Outcome.NotRun;
        default:
            return Outcome.Unknown;
    }
}

/** Reason for refusing a message that could not be parsed. */
export type ParseRefusalReason = typeof RefusalReason.BadRequest | typeof RefusalReason.HeadersTooLarge;

/** Formats the complete answer to a message that could not be parsed. */
export function formatParseRefusal(reason: ParseRefusalReason): string {
    const status = getRefusalStatus(reason);
    const text = `Not run: ${reason}.\n`;
    return [
        `HTTP/1.1 ${status} ${reason === RefusalReason.BadRequest ? "Bad Request" : "Request Header Fields Too Large"}`,
        `${MeshHeader.Outcome}: ${Outcome.NotRun}`,
        `${MeshHeader.Reason}: ${reason}`,
        "content-type: text/plain; charset=utf-8",
        `content-length: ${Buffer.byteLength(text)}`,
        "connection: close",
        "",
        text,
    ].join("\r\n");
}
