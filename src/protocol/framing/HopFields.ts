/**
 * Fields that concern one connection, which are not forwarded (RFC 9110 section 7.6.1). Headers are lists of names and
 * values that alternate.
 */
import { isMeshHeader } from "../request/index.js";

/** Fields that delimit a body; the next hop gets its own. */
export const FramingField = {
    Length: "content-length",
    Trailer: "trailer",
    TransferCoding: "transfer-encoding",
} as const;

const CONNECTION_NAME = "connection";
const HOP_FIELDS: ReadonlySet<string> = new Set([
    CONNECTION_NAME,
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    FramingField.TransferCoding,
    "upgrade",
]);
/** The daemon answers `expect` itself and drops request trailers, as RFC 9110 section 6.5.1 allows. */
const REQUEST_HOP_FIELDS: ReadonlySet<string> = new Set([...HOP_FIELDS, "expect", FramingField.Trailer]);
const ANSWER_HOP_FIELDS: ReadonlySet<string> = new Set([...HOP_FIELDS, FramingField.Length, FramingField.Trailer]);
const NO_VALUES: readonly string[] = [];
/** Trailer fields that are not forwarded, since they affect framing, routing or content coding. */
const UNFORWARDED_TRAILERS: ReadonlySet<string> = new Set([
    FramingField.Length,
    FramingField.TransferCoding,
    "host",
    FramingField.Trailer,
    "content-encoding",
]);

/** Returns the values of all fields of a name, which is in lower case. */
export function listFieldValues(headers: readonly string[], name: string): readonly string[] {
    let values: string[] | undefined;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const field = headers[index] as string;
        // Few names have the same length, so most needn't be converted.
        if (field.length === name.length && field.toLowerCase() === name) {
            (values ??= []).push(headers[index + 1] as string);
        }
    }
    return values ?? NO_VALUES;
}

/** Copies a request's headers for the next hop, without fields of this connection and those of the mesh. */
export function copyRequestHeaders(rawHeaders: readonly string[]): string[] {
    const copied = copyFields(rawHeaders, REQUEST_HOP_FIELDS);
    for (let index = 0; index < copied.length; index += 2) {
        copied[index] = (copied[index] as string).toLowerCase();
    }
    return copied;
}

/** Copies an answer's headers for the next hop, without fields of this connection, the framing and those of the mesh. */
export function copyAnswerHeaders(rawHeaders: readonly string[]): string[] {
    return copyFields(rawHeaders, ANSWER_HOP_FIELDS);
}

export function copyTrailers(rawTrailers: readonly string[]): [name: string, value: string][] {
    const copied: [string, string][] = [];
    for (let index = 0; index + 1 < rawTrailers.length; index += 2) {
        const name = (rawTrailers[index] as string).toLowerCase();
        if (!UNFORWARDED_TRAILERS.has(name) && !HOP_FIELDS.has(name) && !isMeshHeader(name)) {
            copied.push([name, rawTrailers[index + 1] as string]);
        }
    }
    return copied;
}

function copyFields(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
    const named = parseConnectionOptions(listFieldValues(rawHeaders, CONNECTION_NAME));
    const copied: string[] = [];
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
        const rawName = rawHeaders[index] as string;
        const name = rawName.toLowerCase();
        if (!dropped.has(name) && !isMeshHeader(name) && named?.has(name) !== true) {
            copied.push(rawName, rawHeaders[index + 1] as string);
        }
    }
    return copied;
}

/** Names of the fields that `Connection` names besides its usual options. */
function parseConnectionOptions(values: readonly string[]): ReadonlySet<string> | undefined {
    if (values.every(value => value === "keep-alive" || value === "close")) {
        return undefined;
    }
    return new Set(values.join(",").toLowerCase().split(",").map(option => option.trim()));
}
