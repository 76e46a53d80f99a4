import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { RequestKind } from "../../../../state/traffic/index.js";
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
    return { admission, server };
}

/** Writes a part again and again, as fast as the connection takes it, until it is closed; returns bytes written. */
function writeWithoutEnd(socket: Socket, start: string, part: string): () => number {
    let written = 0;
    const text = part.repeat(Math.ceil(16_384 / part.length));
    const write = (): void => {
        while (!socket.destroyed && socket.write(text)) {
            written += text.length;
        }
        written += text.length;
    };
    socket.on("drain", write);
    socket.write(start);
    write();
    return () => written;
}

/** Waits until the connection of a request that has ended can be used again. */
function expectIdle(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 5));
}

const NO_BODY = "Content-Length: 0\r\n\r\n";

/** Guards against a late second copy of an answer that the next caller on the connection gets as its own. */
describe("a second answer to an earlier request, on a connection that is in use again", () => {
    const copies: readonly (readonly [string, (id: string) => string])[] = [
        ["whole, with the earlier id", id => formatAnswer(id, "copy")],
        ["without an id", () => "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"],
        ["a failure without an id", () => `HTTP/1.1 500 -\r\n${NO_BODY}`],
        [
            "a statement without an id that the request was not run",
            () => `HTTP/1.1 503 -\r\nX-Not-Run: 1\r\n${NO_BODY}`,
        ],
        ["with a wrong id", () => formatAnswer("nobody", "copy")],
        ["an interim head before the copy", id => `HTTP/1.1 102 -\r\n\r\n${formatAnswer(id, "copy")}`],
        ["half of it", id => formatAnswer(id, "copy").slice(0, 40)],
    ];

    it.each(copies)(
        "%s, never becomes the answer of the next request or the proof that it was not run",
        async (_name, format) => {
            const { admission, server } = await openAdmission((socket, id, count) => {
                socket.write(count === 1 ? formatAnswer(id, "first") : `${format("a")}${formatAnswer(id, "second")}`);
            });
            const first = recordRequest();
            admission.submit(createOwnedRequest("a"), first.listener);
            expect(await first.end).toBe("answer 200 first");
            await expectIdle();
            const second = recordRequest();
            admission.submit(createOwnedRequest("b"), second.listener);
            expect(["answer 200 second", "unknown"]).toContain(await second.end);
            expect(server.connections.length).toBe(1);
        },
    );

    it("put together with a head that broke off, is no answer", async () => {
        const { admission } = await openAdmission((socket, id) => {
            socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nX-A: b${formatAnswer(id, "again")}`);
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });

    it("a refusal, never becomes the proof that a request with the same id was not run", async () => {
        const refuse = (id: string) => `HTTP/1.1 503 -\r\nRequest-Id: ${id}\r\nX-Not-Run: 1\r\n${NO_BODY}`;
        const { admission } = await openAdmission((socket, id, count) => {
            // The second connection has no earlier refusal.
            const copies = count === 1 ? "" : (refused.has(socket) ? refuse(id) : "");
            refused.add(socket);
            socket.write(copies + (count === 1 ? refuse(id) : formatAnswer(id, "second")));
        });
        const refused = new Set<Socket>();
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        expect(await first.end).toBe("declined");
        await expectIdle();
        const second = recordRequest();
        admission.submit(createOwnedRequest("a"), second.listener);
        expect(["answer 200 second", "unknown"]).toContain(await second.end);
    });

    it("cut at each byte between two segments, never becomes the answer of the next request", async () => {
        const copy = formatAnswer("a", "copy");
        for (let cut = 1; cut < copy.length; cut++) {
            const { admission } = await openAdmission((socket, id, count) => {
                if (count === 1) {
                    socket.write(formatAnswer(id, "first"));
                    return;
                }
                socket.write(copy.slice(0, cut));
                setTimeout(() => socket.write(copy.slice(cut) + formatAnswer(id, "second")), 2);
            });
            const first = recordRequest();
            admission.submit(createOwnedRequest("a"), first.listener);
            await first.end;
            await expectIdle();
            const second = recordRequest();
            admission.submit(createOwnedRequest("b"), second.listener);
            expect(await second.end, `cut at ${cut}`).toBe("answer 200 second");
        }
    });
});

/** Guards against a request that fails because of a second answer to an earlier one, although its own answer follows. */
describe("a second answer that names no request, on a connection that is in use again", () => {
    it.each([0, 10])("is dropped when it comes %i ms before the own answer", async delayMs => {
        const { admission } = await openAdmission((socket, id, count) => {
            if (count === 1) {
                socket.write(formatAnswer(id, "first"));
                return;
            }
            const second = formatAnswer(id, "second");
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok${delayMs === 0 ? second : ""}`);
            if (delayMs > 0) {
                setTimeout(() => socket.write(second), delayMs);
            }
        });
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        await first.end;
        await expectIdle();
        const second = recordRequest();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("answer 200 second");
    });

    it("is no answer to the first request on a connection", async () => {
        const { admission } = await openAdmission((socket, id) => {
            socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok${formatAnswer(id, "own")}`);
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });
});

/** Guards against a request that waits to its deadline for an answer that can't follow on its connection. */
describe("a second answer that ends with its connection, before the next answer", () => {
    it("ends the request that waits at once, with an unknown outcome", async () => {
        const { admission } = await openAdmission((socket, id, count) => {
            socket.write(
                count === 1
                    ? formatAnswer(id, "first")
                    : `HTTP/1.1 200 OK\r\nRequest-Id: a\r\n\r\n${formatAnswer(id, "second")}`,
            );
        });
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        await first.end;
        await expectIdle();
        const second = recordRequest();
        const startedAt = performance.now();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("unknown");
        expect(performance.now() - startedAt).toBeLessThan(1_000);
    });
});

/** Guards against an answer that broke off halfway and is passed on as complete. */
describe("an answer that ends early", () => {
    const chunked = (id: string) =>
        `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n3\r\nefg\r\n0\r\n\r\n`;

    it.each([
        [
            "with a length, by a clean close",
            (id: string) => formatAnswer(id, "abcdefg"),
            (socket: Socket) => socket.end(),
        ],
        [
            "with a length, by a reset",
            (id: string) => formatAnswer(id, "abcdefg"),
            (socket: Socket) => socket.resetAndDestroy(),
        ],
        ["in chunks, by a clean close", chunked, (socket: Socket) => socket.end()],
        ["in chunks, by a reset", chunked, (socket: Socket) => socket.resetAndDestroy()],
    ])("%s, is unknown at each byte", async (_name, format, end) => {
        const length = format("a").length;
        for (let cut = 1; cut < length; cut++) {
            const { admission } = await openAdmission((socket, id) => {
                socket.write(format(id).slice(0, cut), () => setTimeout(() => end(socket), 2));
            });
            const request = recordRequest();
            admission.submit(createOwnedRequest("a"), request.listener);
            expect(await request.end, `cut at ${cut} of ${length}`).toBe("unknown");
        }
    });
});

/** Guards against an answer in chunks that is cut, and passed on as complete with bytes that the server sends later. */
describe("an answer in chunks with a line feed alone", () => {
    const head = (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nTransfer-Encoding: chunked\r\n\r\n`;

    it.each([
        ["after the data of a chunk", "4\r\nabcd\n3\r\nefg\r\n0\r\n\r\n"],
        ["after the size of a chunk", "4\nabcd\r\n3\r\nefg\r\n0\r\n\r\n"],
        ["after the size of the last chunk", "4\r\nabcd\r\n3\r\nefg\r\n0\n\r\n"],
    ])("%s is unknown", async (_name, chunks) => {
        const { admission } = await openAdmission((socket, id) => {
            socket.write(head(id) + chunks);
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });
});

/** Guards against an empty answer, framed as a whole one, in place of an answer whose head was cut. */
describe("an answer whose head is cut", () => {
    const head = (id: string, fields: string): string => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${fields}\r\n`;
    const heads = [
        ["with a length", (id: string) => head(id, "Content-Length: 7\r\n")],
        ["in chunks", (id: string) => head(id, "Transfer-Encoding: chunked\r\n")],
        ["that ends with its connection", (id: string) => head(id, "Connection: close\r\n")],
        ["after an interim head", (id: string) => `HTTP/1.1 102 -\r\n\r\n${head(id, "Content-Length: 7\r\n")}`],
    ] as const;
    const ends = [
        ["a clean close", (socket: Socket) => socket.end()],
        ["a reset", (socket: Socket) => socket.resetAndDestroy()],
    ] as const;
    const cases = heads.flatMap(([name, format]) =>
        ends.flatMap(([end, close]) =>
            ["new", "kept"].map(connection => [name, end, connection, format, close] as const)
        )
    );

    it.each(cases)(
        "%s, by %s, on a %s connection, is unknown at each byte",
        async (_name, _end, connection, format, close) => {
            for (let cut = 0; cut < format("a").length; cut++) {
                const { admission } = await openAdmission((socket, id) => {
                    if (id === "first") {
                        socket.write(formatAnswer(id, "ok"));
                        return;
                    }
                    socket.write(format(id).slice(0, cut), () => setTimeout(() => close(socket), 1));
                });
                if (connection === "kept") {
                    const first = recordRequest();
                    admission.submit(createOwnedRequest("first"), first.listener);
                    await first.end;
                    await expectIdle();
                }
                const request = recordRequest();
                admission.submit(createOwnedRequest("a"), request.listener);
                expect(await request.end, `cut at ${cut}`).toBe("unknown");
            }
        },
    );
});

/** Guards against memory and processor time that a server takes with bytes that never become an answer. */
describe("bytes without end", () => {
    const head = (id: string, fields: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n${fields}`;
    const cases: readonly (readonly [string, (id: string) => string, string])[] = [
        ["in a status line", () => "HTTP/1.1 200 ", "x"],
        ["in one header line", id => head(id, "x-long: "), "x"],
        ["in header lines", id => head(id, ""), "x-line: 1\r\n"],
        ["in interim answers", () => "", "HTTP/1.1 102 Processing\r\n\r\n"],
        ["in answers to other requests", () => "", formatAnswer("nobody", "x".repeat(500))],
        ["in a chunk extension", id => head(id, "Transfer-Encoding: chunked\r\n\r\n1;"), "x"],
        ["in trailers", id => head(id, "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "x-trailer: 1\r\n"],
        [
            "in the body of a declined request",
            id => head(id, "").replace("200 OK", "503 -") + "X-Not-Run: 1\r\n\r\n",
            "x",
        ],
        ["that are no HTTP", () => "", "\u0001\u0002 what"],
    ];

    it.each(cases)(
        "%s end the request and the connection long before its time, with at most 10 MB written",
        async (_name, format, part) => {
            let readWritten = () => 0;
            const { admission, server } = await openAdmission((socket, id) => {
                readWritten = writeWithoutEnd(socket, format(id), part);
            });
            const request = recordRequest();
            const startedAt = performance.now();
            admission.submit(
                createOwnedRequest("a", { budgetLeftMs: 20_000, kind: RequestKind.Idempotent }),
                request.listener,
            );
            expect(["unknown", "declined"]).toContain(await request.end);
            expect(performance.now() - startedAt).toBeLessThan(3_000);
            await expect.poll(() => server.connections.every(({ destroyed }) => destroyed)).toBe(true);
            // What the kernel has buffered counts as written.
            expect(readWritten()).toBeLessThan(10 * 1_048_576);
        },
    );

    it("in a body end by the time of the request, while the reader takes them at its own pace", async () => {
        const { admission, server } = await openAdmission((socket, id) => {
            writeWithoutEnd(socket, head(id, "\r\n"), "x");
        });
        const request = recordRequest();
        const startedAt = performance.now();
        const handle = admission.submit(createOwnedRequest("a", { budgetLeftMs: 500 }), {
            ...request.listener,
            onData: () => handle.pause(),
        });
        const before = process.memoryUsage().rss;
        expect(await request.end).toBe("cut");
        expect(performance.now() - startedAt).toBeLessThan(1_500);
        expect(process.memoryUsage().rss - before).toBeLessThan(32 * 1_048_576);
        await expect.poll(() => server.connections.every(({ destroyed }) => destroyed)).toBe(true);
    });
});
