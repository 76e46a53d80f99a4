/**
 * How the body of an answer is delimited, whether it has ended, and in which framing the next hop gets it (RFC 9112
 * section 6). Headers are lists of names and values that alternate.
 */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { copyAnswerHeaders, FramingField, listFieldValues } from "./HopFields.js";

const MINIMUM_STATUS = 100;
const FIRST_FINAL_STATUS = 200;
const MAXIMUM_STATUS = 599;
const SWITCHING_PROTOCOLS_STATUS = 101;
const NO_CONTENT_STATUS = 204;
const NOT_MODIFIED_STATUS = 304;
const LENGTH_PATTERN = /^\d{1,15}$/;
const CHUNKED_PATTERN = /^chunked$/i;

export const FramingKind = {
    /** The answer ends with its head. */
    None: "none",
    Length: "length",
    Chunks: "chunks",
    /** The answer ends with its connection. */
    Close: "close",
} as const;
export type FramingKind = (typeof FramingKind)[keyof typeof FramingKind];

export type AnswerFraming =
    | { readonly kind: typeof FramingKind.Length; readonly bytes: number; }
    | { readonly kind: Exclude<FramingKind, typeof FramingKind.Length>; };

/** What decides on the framing of an answer besides its headers. */
export interface AnswerContext {
    readonly status: number;
    /** Whether it answers a HEAD request. */
    readonly isHead: boolean;
    /** Minor version of HTTP/1.x: of the server's answer, or of the request to which a caller gets one. */
    readonly minorVersion: number;
}

export const AnswerResult = {
    Whole: "whole",
    Cut: "cut",
    /** Nothing that could be passed on has arrived. */
    NoAnswer: "no answer",
} as const;
export type AnswerResult = (typeof AnswerResult)[keyof typeof AnswerResult];

/** How the connection has ended on which an answer was being read; undefined while it is open. */
export const ConnectionEnd = { Closed: "closed", Reset: "reset" } as const;
export type ConnectionEnd = (typeof ConnectionEnd)[keyof typeof ConnectionEnd];

/** What has arrived of an answer. */
export interface AnswerProgress {
    /** Undefined before the end of the head. */
    readonly framing: AnswerFraming | undefined;
    readonly bodyBytes: number;
    readonly hasLastChunk: boolean;
}

/**
 * Whether an answer with this status is one (RFC 9110 section 15). A switch of protocols is none, since requests for it
 * are not forwarded.
 */
export function isValidStatus(status: number): boolean {
    return Number.isInteger(status) && status >= MINIMUM_STATUS && status <= MAXIMUM_STATUS
        && status !== SWITCHING_PROTOCOLS_STATUS;
}

export function isFinalStatus(status: number): boolean {
    return isValidStatus(status) && status >= FIRST_FINAL_STATUS;
}

/** Selects the framing of a server's answer; Left holds why its head is malformed. */
export function selectAnswerFraming(
    headers: readonly string[],
    { isHead, minorVersion, status }: AnswerContext,
): Either<string, AnswerFraming> {
    // Section 6.3, item 1.
    if (isHead || isBodilessStatus(status)) {
        return Right({ kind: FramingKind.None });
    }
    const codings = listFieldValues(headers, FramingField.TransferCoding);
    if (codings.length > 0) {
        // Section 6.1: HTTP/1.0 has no transfer codings, so the framing can't be trusted.
        if (minorVersion === 0) {
            return Left("an answer of HTTP/1.0 has a transfer coding");
        }
        // Section 6.3, item 3: a coding overrides a length. Codings besides chunks are not decoded.
        return codings.length === 1 && CHUNKED_PATTERN.test(codings[0] as string)
            ? Right({ kind: FramingKind.Chunks })
            : Left(`the transfer coding is "${codings.join(", ")}"`);
    }
    const [length, ...others] = listFieldValues(headers, FramingField.Length);
    if (length === undefined) {
        // Section 6.3, item 8.
        return Right({ kind: FramingKind.Close });
    }
    // Section 6.3, items 5 and 6.
    return LENGTH_PATTERN.test(length) && others.every(other => other === length)
        ? Right({ bytes: Number(length), kind: FramingKind.Length })
        : Left(`the length is "${[length, ...others].join(", ")}"`);
}

/** Whether a field of a head or trailer section has a value that no framing allows. */
export function isMalformedFramingField(name: string, value: string): boolean {
    switch (name.toLowerCase()) {
        case FramingField.Length:
            return !LENGTH_PATTERN.test(value);
        case FramingField.TransferCoding:
            return !CHUNKED_PATTERN.test(value);
        default:
            return false;
    }
}

/** Whether headers name two framings, so that the rest of the connection can't be trusted (section 6.3, item 3). */
export function hasTwoFramings(headers: readonly string[]): boolean {
    return [FramingField.Length, FramingField.TransferCoding].every(name => listFieldValues(headers, name).length > 0);
}

/** Classifies what has arrived of an answer, while its connection is open or after its end (section 8). */
export function classifyAnswer(
    { bodyBytes, framing, hasLastChunk }: AnswerProgress,
    end: ConnectionEnd | undefined,
): AnswerResult {
    switch (framing?.kind) {
        case undefined:
            return AnswerResult.NoAnswer;
        case FramingKind.None:
            return AnswerResult.Whole;
        case FramingKind.Length:
            return bodyBytes === framing.bytes ? AnswerResult.Whole : AnswerResult.Cut;
        case FramingKind.Chunks:
            return hasLastChunk ? AnswerResult.Whole : AnswerResult.Cut;
        case FramingKind.Close:
            return end === ConnectionEnd.Closed ? AnswerResult.Whole : AnswerResult.Cut;
    }
}

/**
 * Selects the framing towards a caller. `bodyBytes` is the length of the body if it is known. Without one the body goes in
 * chunks, so that an answer that breaks off doesn't look complete; HTTP/1.0 has none (section 6.1).
 */
export function selectCallerFraming(
    { isHead, minorVersion, status }: AnswerContext,
    bodyBytes: number | undefined,
): AnswerFraming {
    if (isHead || isBodilessStatus(status)) {
        return { kind: FramingKind.None };
    }
    if (bodyBytes !== undefined) {
        return { bytes: bodyBytes, kind: FramingKind.Length };
    }
    return { kind: minorVersion === 0 ? FramingKind.Close : FramingKind.Chunks };
}

/** Builds the headers of an answer for the next hop; `Trailer` is kept if trailers follow the chunks. */
export function buildAnswerHeaders(
    rawHeaders: readonly string[],
    status: number,
    framing: AnswerFraming,
    areTrailersForwarded = false,
): string[] {
    const headers = copyAnswerHeaders(rawHeaders);
    switch (framing.kind) {
        case FramingKind.Length:
            headers.push(FramingField.Length, String(framing.bytes));
            break;
        case FramingKind.None:
            // RFC 9110, section 8.6: the length that the answer would have had, but not beside 204.
            if (status !== NO_CONTENT_STATUS) {
                appendFirst(headers, rawHeaders, FramingField.Length);
            }
            break;
        case FramingKind.Chunks:
            // RFC 9110, section 6.5: only chunks carry trailers.
            if (areTrailersForwarded) {
                appendFirst(headers, rawHeaders, FramingField.Trailer);
            }
            break;
        case FramingKind.Close:
            break;
    }
    return headers;
}

/** Returns the length that the headers state; undefined when they state none that can be used. */
export function parseStatedLength(headers: readonly string[]): number | undefined {
    const [length] = listFieldValues(headers, FramingField.Length);
    return length !== undefined && LENGTH_PATTERN.test(length) ? Number(length) : undefined;
}

/** Whether an answer with this status ends with its head, whatever its headers say. */
export function isBodilessStatus(status: number): boolean {
    return status < FIRST_FINAL_STATUS || status === NO_CONTENT_STATUS || status === NOT_MODIFIED_STATUS;
}

function appendFirst(headers: string[], rawHeaders: readonly string[], name: string): void {
    const [value] = listFieldValues(rawHeaders, name);
    if (value !== undefined) {
        headers.push(name, value);
    }
}
