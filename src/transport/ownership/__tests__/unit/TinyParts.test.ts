import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

async function openAdmission(answer: AnswerRaw) {
    const server = await startRawServer(answer);
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    return admission;
}

/** A body of numbers, so that lost, doubled and misplaced bytes show. */
function createBody(bytes: number): string {
    return Array.from({ length: Math.ceil(bytes / 6) }, (_, index) => String(index).padStart(6, "0")).join("").slice(
        0,
        bytes,
    );
}

function formatChunked(id: string, body: string, chunkBytes: number): string {
    const chunks: string[] = [];
    for (let at = 0; at < body.length; at += chunkBytes) {
        const chunk = body.slice(at, at + chunkBytes);
        chunks.push(`${chunk.length.toString(16)}\r\n${chunk}\r\n`);
    }
    return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n${chunks.join("")}0\r\n\r\n`;
}

/** Records the pieces of a streamed answer. */
function recordBody() {
    const request = recordRequest();
    const pieces: Uint8Array[] = [];
    const listener = {
        ...request.listener,
        onAnswer: (...[head, body, load]: Parameters<typeof request.listener.onAnswer>) => {
            pieces.push(body);
            request.listener.onAnswer(head, new Uint8Array(0), load);
        },
        onData: (body: Uint8Array) => void pieces.push(body),
    };
    return { end: request.end, listener, pieces, readBody: () => Buffer.concat(pieces).toString("latin1") };
}

/** Guards against an answer in tiny chunks that takes the event loop and memory, chunk by chunk. */
describe("an answer that is cut into tiny chunks", () => {
    it.each([1, 7, 16, 256])("of %i bytes, is passed on whole, in few pieces", async chunkBytes => {
        const body = createBody(120_000);
        const text = formatChunked("a", body, chunkBytes);
        const admission = await openAdmission(socket => socket.write(text));
        const { end, listener, pieces, readBody } = recordBody();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 20_000 }), listener);
        expect(await end).toBe("end");
        expect(readBody()).toBe(body);
        // One piece for each slice of what was read at once, at most.
        expect(pieces.length).toBeLessThanOrEqual(text.length / 2_048 + 10);
    });

    it("is passed on whole to a reader that pauses after each piece", async () => {
        const body = createBody(120_000);
        const admission = await openAdmission(socket => socket.write(formatChunked("a", body, 1)));
        const { end, listener, readBody } = recordBody();
        const handle = admission.submit(createOwnedRequest("a", { budgetLeftMs: 20_000 }), {
            ...listener,
            onData: part => {
                listener.onData(part);
                handle.pause();
                setTimeout(() => handle.resume(), 1);
            },
        });
        expect(await end).toBe("end");
        expect(readBody()).toBe(body);
    });

    it("is passed on whole when the server closes the connection before all was read", async () => {
        const body = createBody(60_000);
        const admission = await openAdmission(socket => socket.end(formatChunked("a", body, 1)));
        const { end, listener, readBody } = recordBody();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 20_000 }), listener);
        expect(await end).toBe("answer 200 ");
        expect(readBody()).toBe(body);
    });

    it("is cut, never complete, when the server closes the connection amid its chunks", async () => {
        const text = formatChunked("a", createBody(100_000), 1);
        const admission = await openAdmission(socket => socket.end(text.slice(0, -400)));
        const { end, listener } = recordBody();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 20_000 }), listener);
        expect(await end).toBe("cut");
    });

    it("leaves the connection usable for the next request", async () => {
        const body = createBody(100_000);
        const admission = await openAdmission((socket, id) =>
            socket.write(id === "a" ? formatChunked("a", body, 1) : formatAnswer(id, "second"))
        );
        const first = recordBody();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 20_000 }), first.listener);
        expect(await first.end).toBe("end");
        await new Promise(resolve => setTimeout(resolve, 5));
        const second = recordRequest();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("answer 200 second");
    });

    it("ends with its request's time, and no piece follows", async () => {
        const admission = await openAdmission(socket => {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            const chunks = "1\r\nx\r\n".repeat(10_000);
            const write = (): void => {
                while (!socket.destroyed && socket.write(chunks)) {
                    // Goes on until the connection takes no more.
                }
            };
            socket.on("drain", write);
            write();
        });
        const { end, listener, pieces } = recordBody();
        const startedAt = performance.now();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 700 }), listener);
        expect(["cut", "unknown"]).toContain(await end);
        expect(performance.now() - startedAt).toBeLessThan(1_700);
        const { length } = pieces;
        await new Promise(resolve => setTimeout(resolve, 100));
        expect(pieces.length).toBe(length);
    });

    it("is passed on at once, event by event, when it comes slowly", async () => {
        const admission = await openAdmission(socket => {
            socket.write("HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n");
            // More than is held back so that a cut answer can be replaced.
            socket.write(`${(70_000).toString(16)}\r\n${"x".repeat(70_000)}\r\n`);
            let count = 0;
            const timer = setInterval(() => {
                socket.write(count++ < 5 ? "4\r\ntick\r\n" : "0\r\n\r\n");
                if (count > 5) {
                    clearInterval(timer);
                }
            }, 30);
        });
        const { end, listener, pieces } = recordBody();
        admission.submit(createOwnedRequest("a", { budgetLeftMs: 5_000 }), listener);
        expect(await end).toBe("end");
        expect(pieces.slice(-5).map(piece => Buffer.from(piece).toString("latin1"))).toEqual(Array(5).fill("tick"));
    });
});
