import { describe, expect, it } from "vitest";
import {
    AnswerResult,
    buildAnswerHeaders,
    classifyAnswer,
    ConnectionEnd,
    FramingKind,
    isFinalStatus,
    isValidStatus,
    selectAnswerFraming,
    selectCallerFraming,
} from "../../index.js";
import type { AnswerContext, AnswerFraming } from "../../index.js";

const CHUNKED = ["Transfer-Encoding", "chunked"];
const OK: AnswerContext = { isHead: false, minorVersion: 1, status: 200 };

const FRAMINGS: readonly (readonly [string, readonly string[], Partial<AnswerContext>, string])[] = [
    ["a length", ["Content-Length", "5"], {}, "length 5"],
    ["a length with leading zeros", ["Content-Length", "005"], {}, "length 5"],
    ["a length twice", ["Content-Length", "5", "content-length", "5"], {}, "length 5"],
    ["two lengths", ["Content-Length", "5", "Content-Length", "6"], {}, "malformed"],
    ["a list of lengths", ["Content-Length", "5, 5"], {}, "malformed"],
    ["a length with a sign", ["Content-Length", "+5"], {}, "malformed"],
    ["a length beyond exact numbers", ["Content-Length", "9".repeat(20)], {}, "malformed"],
    ["an empty length", ["Content-Length", ""], {}, "malformed"],
    ["chunks", CHUNKED, {}, "chunks"],
    ["chunks and a length", ["Content-Length", "5", ...CHUNKED], {}, "chunks"],
    ["chunks twice", [...CHUNKED, ...CHUNKED], {}, "malformed"],
    ["another coding", ["Transfer-Encoding", "gzip, chunked"], {}, "malformed"],
    ["chunks in HTTP/1.0", CHUNKED, { minorVersion: 0 }, "malformed"],
    ["neither", ["X-A", "b"], {}, "close"],
    ["neither in HTTP/1.0", [], { minorVersion: 0 }, "close"],
    ["neither beside 205", [], { status: 205 }, "close"],
    ["a length beside 204", ["Content-Length", "5"], { status: 204 }, "none"],
    ["chunks beside 304", CHUNKED, { status: 304 }, "none"],
    ["a length beside an interim status", ["Content-Length", "5"], { status: 102 }, "none"],
    ["a length in an answer to HEAD", ["Content-Length", "5"], { isHead: true }, "none"],
];

function describeFraming(framing: AnswerFraming | string): string {
    if (typeof framing === "string") {
        return "malformed";
    }
    return framing.kind === FramingKind.Length ? `length ${framing.bytes}` : framing.kind;
}

// Guards against two places that read the framing of one answer in two ways.
describe("the framing of a server's answer", () => {
    it.each(FRAMINGS)("with %s", (_name, headers, fields, expected) => {
        expect(describeFraming(selectAnswerFraming(headers, { ...OK, ...fields }).extract())).toBe(expected);
    });
});

const LENGTH_5 = { bytes: 5, kind: FramingKind.Length } as const;
const RESULTS:
    readonly (readonly [AnswerFraming | undefined, number, boolean, ConnectionEnd | undefined, AnswerResult])[] = [
        [undefined, 0, false, ConnectionEnd.Closed, AnswerResult.NoAnswer],
        [{ kind: FramingKind.None }, 0, false, undefined, AnswerResult.Whole],
        [LENGTH_5, 4, false, ConnectionEnd.Closed, AnswerResult.Cut],
        [LENGTH_5, 5, false, undefined, AnswerResult.Whole],
        [LENGTH_5, 6, false, undefined, AnswerResult.Cut],
        [{ kind: FramingKind.Chunks }, 5, false, ConnectionEnd.Closed, AnswerResult.Cut],
        [{ kind: FramingKind.Chunks }, 5, true, undefined, AnswerResult.Whole],
        [{ kind: FramingKind.Close }, 5, false, undefined, AnswerResult.Cut],
        [{ kind: FramingKind.Close }, 5, false, ConnectionEnd.Reset, AnswerResult.Cut],
        [{ kind: FramingKind.Close }, 5, false, ConnectionEnd.Closed, AnswerResult.Whole],
    ];

// Guards against a cut answer that is taken for a whole one.
describe("what has arrived of an answer", () => {
    it.each(RESULTS)("with framing %o, %i bytes, last chunk %s, connection %s is: %s", (...row) => {
        const [framing, bodyBytes, hasLastChunk, end, expected] = row;
        expect(classifyAnswer({ bodyBytes, framing, hasLastChunk }, end)).toBe(expected);
    });
});

// Guards against a framing towards a caller in which a cut answer looks complete.
describe("the framing towards a caller", () => {
    it.each([
        ["a known length", OK, 5, "length 5"],
        ["a known length for HTTP/1.0", { ...OK, minorVersion: 0 }, 5, "length 5"],
        ["an unknown length", OK, undefined, "chunks"],
        ["an unknown length for HTTP/1.0", { ...OK, minorVersion: 0 }, undefined, "close"],
        ["status 204", { ...OK, status: 204 }, 5, "none"],
        ["HEAD", { ...OK, isHead: true }, 0, "none"],
    ])("with %s", (_name, context, bytes, expected) => {
        expect(describeFraming(selectCallerFraming(context, bytes))).toBe(expected);
    });
});

const RAW = [
    "Connection",
    "close, X-Hop",
    "X-Hop",
    "1",
    "Keep-Alive",
    "timeout=5",
    "Content-Length",
    "9",
    ...CHUNKED,
    "Trailer",
    "X-Sum",
    "X-A",
    "b",
];

// Guards against a field of the server's connection that changes the framing at the caller.
describe("the headers for the next hop", () => {
    it.each(
        [
            ["a length", { bytes: 28, kind: FramingKind.Length }, 200, ["X-A", "b", "content-length", "28"]],
            ["chunks", { kind: FramingKind.Chunks }, 200, ["X-A", "b"]],
            ["no body", { kind: FramingKind.None }, 304, ["X-A", "b", "content-length", "9"]],
            ["no body by 204", { kind: FramingKind.None }, 204, ["X-A", "b"]],
            ["the close", { kind: FramingKind.Close }, 200, ["X-A", "b"]],
        ] as const,
    )("with %s", (_name, framing, status, expected) => {
        expect(buildAnswerHeaders(RAW, status, framing)).toEqual(expected);
    });

    it("keep the names of trailers that follow", () => {
        expect(buildAnswerHeaders(RAW, 200, { kind: FramingKind.Chunks }, true)).toEqual([
            "X-A",
            "b",
            "trailer",
            "X-Sum",
        ]);
        expect(buildAnswerHeaders(RAW, 200, LENGTH_5, true)).not.toContain("trailer");
    });
});

// Guards against a status that no answer has, and that reaches a caller.
describe("statuses", () => {
    it.each([[0, false, false], [99, false, false], [100, true, false], [101, false, false], [199, true, false]])(
        "%i is valid: %s, final: %s",
        (status, isValid, isFinal) => {
            expect([isValidStatus(status), isFinalStatus(status)]).toEqual([isValid, isFinal]);
        },
    );

    it.each([[200, true], [599, true], [600, false], [999, false], [Number.NaN, false], [200.5, false]])(
        "%d is final: %s",
        (status, expected) => {
            expect(isFinalStatus(status)).toBe(expected);
        },
    );
});
