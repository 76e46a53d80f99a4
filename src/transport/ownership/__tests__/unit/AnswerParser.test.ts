import { describe, expect, it } from "vitest";
import { createAnswerParser } from "../../AnswerParser.js";

const LIMIT_BYTES = 16_384;

/** Parses the bytes in pieces; returns the body once the answer is complete, and the error of a malformed one. */
function parseAnswer(text: string, pieceLength: number) {
    const parser = createAnswerParser(LIMIT_BYTES);
    let body = "";
    let completed: string | undefined;
    parser.onBody = (chunk, offset, length) => {
        body += chunk.toString("latin1", offset, offset + length);
    };
    parser.onMessageComplete = () => {
        completed ??= body;
    };
    for (let start = 0; start < text.length; start += pieceLength) {
        const result = parser.execute(Buffer.from(text.slice(start, start + pieceLength), "latin1"));
        if (result instanceof Error) {
            return { completed, error: result.message };
        }
    }
    return { completed, error: undefined };
}

const PIECE_LENGTHS = [1, 7, 1_000];

const MALFORMED = {
    "a space before the colon": "Content-Length : 3\r\n\r\nabc",
    "a line without a colon": "Content-Length 3\r\n\r\nabc",
    "an empty name": ": b\r\nContent-Length: 3\r\n\r\nabc",
    "a folded first line": " x: y\r\nContent-Length: 3\r\n\r\nabc",
    "a length that is no number": "Content-Length: 3x\r\n\r\nabc",
    "an empty length": "Content-Length:\r\n\r\n",
    "a length in hexadecimal": "Content-Length: 0x3\r\n\r\nabc",
    "a negative length": "Content-Length: -3\r\n\r\nabc",
    "two lengths in one field": "Content-Length: 3, 3\r\n\r\nabc",
    "a folded length": "Content-Length: 3\r\n 4\r\n\r\nabc",
    "a coding besides chunks": "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    "a chunk size that is no number": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n\r\n",
    "an empty chunk size": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n\r\n\r\n",
    "a negative chunk size": "Transfer-Encoding: chunked\r\n\r\n-0\r\n\r\n",
    "a line feed alone after a chunk": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\n0\r\n\r\n",
    "a line feed alone after a chunk size": "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
    "a line feed alone at the end of the chunks": "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\n",
    "a malformed trailer": "Transfer-Encoding: chunked\r\n\r\n0\r\nx y\r\n\r\n",
};

// Guards against an answer that is cut short or garbled and reaches the caller framed as a whole one.
describe("the parser of servers' answers", () => {
    it.each(Object.entries(MALFORMED))("reports an error for %s and completes no answer", (_name, rest) => {
        for (const length of PIECE_LENGTHS) {
            const { completed, error } = parseAnswer(`HTTP/1.1 200 OK\r\n${rest}`, length);
            expect(error).toBeDefined();
            expect(completed).toBeUndefined();
        }
    });

    it("reads answers with a length, with chunks and extensions, and with a folded header", () => {
        for (const length of PIECE_LENGTHS) {
            const head = "HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n";
            expect(parseAnswer(`${head}Content-Length: 3\r\n\r\nabc`, length).completed).toBe("abc");
            const chunks = "Transfer-Encoding: Chunked\r\n\r\n2\r\nab\r\n00A; x=y\r\n0123456789\r\n0\r\nX-T: u\r\n\r\n";
            expect(parseAnswer(`${head}${chunks}`, length).completed).toBe("ab0123456789");
        }
    });
});
