import { isMeshHeader, MeshHeader } from "./MeshHeaders.js";

/** Connection-specific headers (RFC 9110 section 7.6.1), which are never forwarded. */
const HOP_BY_HOP_HEADERS = new Set([
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
]);

/** The daemon answers `expect` itself and drops request trailers, as RFC 9110 section 6.5.1 allows. */
const REQUEST_ONLY_HOP_HEADERS = new Set(["expect", "trailer"]);
const TRAILER_NAME = "trailer";

/**
 * Copies the headers of a request for the next hop, without hop-by-hop headers, headers named by
 * `Connection` and mesh headers. Names and values alternate in `rawHeaders` and in the result.
 */
export function copyRequestHeaders(rawHeaders: readonly string[], connection: string | undefined): string[] {
    const named = parseConnectionOptions(connection);
    const copied: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const rawName = rawHeaders[index] as string;
        const name = rawName.toLowerCase();
        if (
            HOP_BY_HOP_HEADERS.has(name) || REQUEST_ONLY_HOP_HEADERS.has(name) || isMeshHeader(name)
            || named?.has(name) === true
        ) {
            continue;
        }
        copied.push(name, rawHeaders[index + 1] as string);
    }
    return copied;
}

/**
 * Copies the headers of an answer for the caller by the same rules. A length beside a transfer coding is dropped, since the
 * coding overrides it (RFC 9112 section 6.3). `Trailer` is kept if trailers are forwarded and the answer comes in chunks:
 * beside a length there are none (RFC 9110 section 6.5).
 */
export function copyAnswerHeaders(
    rawHeaders: readonly string[],
    connection: string | undefined,
    areTrailersForwarded: boolean,
): string[] {
    const named = parseConnectionOptions(connection);
    const isCoded = rawHeaders.some((part, index) => index % 2 === 0 && part.toLowerCase() === "transfer-encoding");
    const copied: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const rawName = rawHeaders[index] as string;
        const name = rawName.toLowerCase();
        if (HOP_BY_HOP_HEADERS.has(name) || isMeshHeader(name) || named?.has(name) === true) {
            continue;
        }
        if (isCoded && name === "content-length" || name === TRAILER_NAME && !(isCoded && areTrailersForwarded)) {
            continue;
        }
        copied.push(rawName, rawHeaders[index + 1] as string);
    }
    return copied;
}

/** Trailer fields that are not forwarded, since they affect framing, routing or content coding. */
const UNFORWARDED_TRAILERS = new Set(["content-length", "transfer-encoding", "host", "trailer", "content-encoding"]);

export function copyTrailers(rawTrailers: readonly string[]): [name: string, value: string][] {
    const copied: [string, string][] = [];
    for (let index = 0; index + 1 < rawTrailers.length; index += 2) {
        const name = (rawTrailers[index] as string).toLowerCase();
        if (!UNFORWARDED_TRAILERS.has(name) && !HOP_BY_HOP_HEADERS.has(name) && !isMeshHeader(name)) {
            copied.push([name, rawTrailers[index + 1] as string]);
        }
    }
    return copied;
}

function parseConnectionOptions(connection: string | undefined): Set<string> | undefined {
    if (connection === undefined || connection === "keep-alive" || connection === "close") {
        return undefined;
    }
    return new Set(connection.toLowerCase().split(",").map(option => option.trim()));
}

const DEADLINE_PATTERN = /^[0-9]{1,9}$/;

/** Parses a deadline header into the remaining milliseconds; undefined when absent or malformed. */
export function parseDeadlineMs(value: string | string[] | undefined): number | undefined {
    return typeof value === "string" && DEADLINE_PATTERN.test(value) ? Number(value) : undefined;
}

/** Adds the deadline header; at least 1 ms, since 0 would mean that the deadline has passed. */
export function appendDeadline(headers: string[], remainingMs: number): void {
    headers.push(MeshHeader.Deadline, String(Math.max(1, Math.floor(remainingMs))));
}
