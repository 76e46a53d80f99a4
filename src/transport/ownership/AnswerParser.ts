/** Parser of servers' answers that takes nothing but what RFC 9112 allows, so that no fault changes a body's length. */
import { HTTPParser } from "http-parser-js";
import { isBodilessStatus, isMalformedFramingField, isValidStatus } from "../../protocol/framing/index.js";

HTTPParser.encoding = "latin1";

export type AnswerParser = InstanceType<typeof HTTPParser>;

/** Head of an answer; names and values of headers alternate. */
export interface ParsedHead {
    readonly statusCode: number;
    readonly versionMinor: number;
    readonly headers: readonly string[];
    readonly shouldKeepAlive: boolean;
}

/** Parts of the parser that its types declare private. */
interface ParserState {
    BODY_CHUNKHEAD: () => void;
    RESPONSE_LINE: () => void;
    consumeLine: () => string | undefined;
    readonly chunk: Buffer;
    readonly offset: number;
    readonly line: string;
    readonly info: { statusCode: number; statusMessage: string; versionMajor: number; versionMinor: number; };
    body_bytes: number | null;
    state: string;
}

/** Of HTTP/1.x, whose later minor versions are read like 1.1. */
const STATUS_LINE_PATTERN = /^HTTP\/1\.(\d) (\d{3})(?: (.*))?$/;
/** Begin of a status line within another line. */
const STATUS_LINE_BEGIN_PATTERN = /HTTP\/1\.\d \d{3}(?: |$)/;
/** Characters of a malformed status line that are quoted in the log. */
const QUOTED_LINE_LENGTH = 40;

const FIELD_PATTERN = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[ \t]*(.*?)[ \t]*$/;
/** A line that continues the value of the one before it. */
const CONTINUATION_PATTERN = /^[ \t]+(.*?)[ \t]*$/;
const CHUNK_SIZE_PATTERN = /^([0-9A-Fa-f]{1,12})[ \t]*(;.*)?$/;
const HEXADECIMAL = 16;
const CARRIAGE_RETURN = 0x0D;
/** Begin of the names of the parser's states between the chunks of a body. */
const CHUNK_STATE_PREFIX = "BODY_CHUNK";

/** Creates a parser; `execute` returns an error for a malformed answer. */
export function createAnswerParser(maximumHeadBytes: number): AnswerParser {
    const parser = new HTTPParser(HTTPParser.RESPONSE);
    parser.maxHeaderSize = maximumHeadBytes;
    parser.parseHeader = appendField;
    const state = parser as unknown as ParserState;
    state.BODY_CHUNKHEAD = () => parseChunkHead(state);
    state.RESPONSE_LINE = () => parseStatusLine(state);
    const consumeLine = state.consumeLine.bind(state);
    state.consumeLine = () => consumeStrictly(state, consumeLine);
    return parser;
}

/** Reads the first head of some bytes; undefined when there is no whole one. */
export function readHead(bytes: Buffer, maximumHeadBytes: number): ParsedHead | undefined {
    const parser = createAnswerParser(maximumHeadBytes);
    let head: ParsedHead | undefined;
    parser.onHeadersComplete = (parsed: ParsedHead) => {
        head ??= parsed;
    };
    parser.execute(bytes);
    return head;
}

/** Whether all bytes so far belong to answers that have ended. */
export function isBetweenAnswers(parser: AnswerParser): boolean {
    const { line, state } = parser as unknown as ParserState;
    return state === "RESPONSE_LINE" && line === "";
}

/** Returns how many of the next bytes belong to one piece of a body: a chunk, or a body with a length or without end. */
export function readPieceBytes(parser: AnswerParser): number {
    const { body_bytes: pieceBytes, state } = parser as unknown as ParserState;
    if (state === "BODY_RAW") {
        return Infinity;
    }
    return state === "BODY_CHUNK" || state === "BODY_SIZED" ? pieceBytes ?? 0 : 0;
}

/**
 * Consumes a line; those between chunks have to end with CR and LF (RFC 9112 section 7.1), as a chunk that breaks off may
 * be filled up by what comes later, up to a line feed.
 */
function consumeStrictly(state: ParserState, consumeLine: () => string | undefined): string | undefined {
    const { line: earlier, offset } = state;
    const line = consumeLine();
    const lastIndex = state.offset - 2;
    const hasReturn = lastIndex < offset ? earlier.endsWith("\r") : state.chunk[lastIndex] === CARRIAGE_RETURN;
    if (line !== undefined && !hasReturn && state.state.startsWith(CHUNK_STATE_PREFIX)) {
        throw new Error("a line between chunks ends with a line feed alone");
    }
    return line;
}

/**
 * Requires that a line holds no begin of another answer. Where an answer breaks off in a line of a head, of trailers or of
 * a chunk's extensions, the next one on the connection continues it, and would be read as the rest of it.
 */
function expectNoStatusLine(line: string): void {
    if (STATUS_LINE_BEGIN_PATTERN.test(line)) {
        throw new Error("a line contains another status line");
    }
}

function appendField(line: string, headers: string[]): void {
    expectNoStatusLine(line);
    const continuation = headers.length === 0 ? null : CONTINUATION_PATTERN.exec(line);
    if (continuation !== null) {
        headers.push(`${headers.pop() ?? ""} ${continuation[1] ?? ""}`);
    }
    else {
        const [, name, value] = FIELD_PATTERN.exec(line) ?? [];
        if (name === undefined || value === undefined || line.includes("\r")) {
            throw new Error("a line of the head is no header field");
        }
        headers.push(name, value);
    }
    const [name = "", value = ""] = headers.slice(-2);
    if (isMalformedFramingField(name, value)) {
        throw new Error(`${name} has the value "${value}"`);
    }
}

/** Takes only statuses of RFC 9110 section 15; what comes with another one is no answer. */
function parseStatusLine(state: ParserState): void {
    const line = state.consumeLine();
    // Empty lines may come before the status line.
    if (line === undefined || line === "") {
        return;
    }
    const [, minor, digits, message = ""] = STATUS_LINE_PATTERN.exec(line) ?? [];
    const status = Number(digits);
    if (!isValidStatus(status)) {
        throw new Error(`the status line is "${line.slice(0, QUOTED_LINE_LENGTH)}"`);
    }
    expectNoStatusLine(message);
    state.info.versionMajor = 1;
    state.info.versionMinor = Number(minor);
    state.info.statusCode = status;
    state.info.statusMessage = message;
    if (isBodilessStatus(status)) {
        state.body_bytes = 0;
    }
    state.state = "HEADER";
}

function parseChunkHead(state: ParserState): void {
    const line = state.consumeLine();
    if (line === undefined) {
        return;
    }
    expectNoStatusLine(line);
    const size = CHUNK_SIZE_PATTERN.exec(line)?.[1];
    if (size === undefined) {
        throw new Error("the size of a chunk is no number");
    }
    state.body_bytes = Number.parseInt(size, HEXADECIMAL);
    state.state = state.body_bytes === 0 ? "BODY_CHUNKTRAILERS" : "BODY_CHUNK";
}
