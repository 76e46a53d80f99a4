import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { ServerPhase } from "../../../../coordination/registration/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { AdmissionController } from "../../index.js";
import { createAdmissionController, createOwnedRequest, createReport, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw, RawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

async function openAdmission(
    answer: AnswerRaw,
    slots = 2,
): Promise<{ admission: AdmissionController; server: RawServer; }> {
    const server = await startRawServer(answer);
    const admission = createAdmissionController(server.port, { slots });
    cleanups.push(() => server.close(), () => admission.closeAll());
    return { admission, server };
}

/** Guards against bytes of a faulty server that reach the wrong caller or pass for a complete answer. */
describe("answers of a server", () => {
    it("passes a complete answer on, and sends the server its id and the calling service", async () => {
        const { admission, server } = await openAdmission((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 ok");
        expect(server.requests[0]).toContain("x-server: server-1");
        expect(server.requests[0]).toContain("x-caller: status-desk");
    });

    it("drops an answer that names another request, and waits for the right one", async () => {
        const { admission } = await openAdmission((socket, id) => {
            socket.write(formatAnswer("somebody-else", "not yours"));
            socket.write(formatAnswer(id, "yours"));
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 yours");
    });

    it("never passes the bytes after a complete answer to the next request", async () => {
        const { admission } = await openAdmission((socket, id, count) => {
            socket.write(formatAnswer(id, `answer ${count}`) + (count === 1 ? formatAnswer("late", "extra") : ""));
        });
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        await first.end;
        const second = recordRequest();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("answer 200 answer 2");
    });

    it.each([
        [
            "is shorter than its stated length",
            (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 9\r\n\r\nab`,
        ],
        ["is not HTTP", () => "\u0001\u0002 what\r\n\r\n"],
        ["names no request", () => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"],
    ])("reports an unknown outcome when the answer %s", async (_name, format) => {
        const { admission } = await openAdmission((socket, id) => socket.end(format(id)));
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });

    it("marks an answer without a length as close-delimited", async () => {
        const { admission } = await openAdmission((socket, id) =>
            socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nConnection: close\r\n\r\npart`)
        );
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 close-delimited part");
    });

    it("reports an unknown outcome when the connection of an answer without a length is reset", async () => {
        const { admission } = await openAdmission((socket, id) => {
            socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n\r\npart`, () => {
                setTimeout(() => socket.resetAndDestroy(), 30);
            });
        });
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });

    it("reads the next answer on a connection after the reader paused the previous one", async () => {
        const { admission } = await openAdmission((socket, id) => socket.write(formatAnswer(id, "x".repeat(100_000))));
        const first = recordRequest();
        const events = { ...first.listener, onData: () => handle.pause() };
        const handle = admission.submit(createOwnedRequest("a"), events);
        // Resumes the answer after each pause.
        const timer = setInterval(() => handle.resume(), 5);
        await first.end;
        clearInterval(timer);
        const second = recordRequest();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("end");
    });
});

/** Guards against a request that is reported as possibly run although it was not, or that reaches the wrong server. */
describe("requests that are not run", () => {
    it("reports a request as declined when the server states that it did not run it", async () => {
        const { admission } = await openAdmission((socket, id) =>
            socket.write(`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n`)
        );
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("declined");
    });

    it("refuses a request when no connection can be made, and closes admission", async () => {
        const { admission, server } = await openAdmission(() => undefined);
        await server.close();
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("refused server-unreachable");
        expect(admission.readLoad().isOpen).toBe(false);
    });

    it("refuses a request for another service", async () => {
        const { admission } = await openAdmission(() => undefined);
        const request = recordRequest();
        admission.submit(createOwnedRequest("a", { service: "workroom" }), request.listener);
        expect(await request.end).toBe("refused misdirected");
    });

    it("refuses a request whose headers would change the structure of the message", async () => {
        const { admission, server } = await openAdmission(() => undefined);
        const request = recordRequest();
        admission.submit(createOwnedRequest("a", { headers: ["x", "1\r\nRequest-Id: smuggled"] }), request.listener);
        expect(await request.end).toBe("refused bad-request");
        expect(server.requests).toEqual([]);
    });
});

/** Guards against a non-idempotent request that runs twice or is interrupted. */
describe("non-idempotent requests", () => {
    const nonIdempotent = { kind: RequestKind.AtMostOnce, method: "POST" } as const;

    it("are not sent to the server before the caller's side proceeds", async () => {
        const { admission, server } = await openAdmission((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        const handle = admission.submit(createOwnedRequest("a", nonIdempotent), request.listener);
        await expect.poll(() => request.events).toEqual(["offer"]);
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(request.events).toEqual(["offer"]);
        expect(server.requests).toEqual([]);
        handle.proceed();
        expect(await request.end).toBe("answer 200 ok");
    });

    it("are refused when the offer is not answered, and never run later", async () => {
        const { admission, server } = await openAdmission((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        const handle = admission.submit(createOwnedRequest("a", nonIdempotent), request.listener);
        expect(await request.end).toBe("refused server-leaving");
        handle.proceed();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(server.requests).toEqual([]);
        expect(admission.running).toBe(0);
    });

    it("continue to run when their caller has disconnected", async () => {
        const { admission, server } = await openAdmission(() => undefined);
        const request = recordRequest();
        const handle = admission.submit(createOwnedRequest("a", nonIdempotent), request.listener);
        handle.proceed();
        await expect.poll(() => server.requests.length).toBe(1);
        handle.cancel();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(server.connections[0]?.destroyed).toBe(false);
    });
});

/** Guards against requests that reach a server after its leaving was acknowledged. */
describe("a leaving server", () => {
    it("gets no request after its report was accepted, not even one that was queued", async () => {
        const { admission, server } = await openAdmission(() => undefined, 1);
        const running = recordRequest();
        const waiting = recordRequest();
        const later = recordRequest();
        admission.submit(createOwnedRequest("a"), running.listener);
        admission.submit(createOwnedRequest("b"), waiting.listener);
        admission.acceptReport(createReport(server.port, { phase: ServerPhase.Leaving, sequence: 2 }));
        admission.submit(createOwnedRequest("c"), later.listener);
        expect(await waiting.end).toBe("refused server-leaving");
        expect(await later.end).toBe("refused server-leaving");
        await expect.poll(() => server.requests.length).toBe(1);
    });

    it("gets no request after it said in an answer that it leaves, not even one that was queued", async () => {
        const { admission, server } = await openAdmission(
            (socket, id) => socket.write(formatAnswer(id, "ok", ["x-leaving: 1"])),
            1,
        );
        const running = recordRequest();
        const waiting = recordRequest();
        const later = recordRequest();
        admission.submit(createOwnedRequest("a"), running.listener);
        admission.submit(createOwnedRequest("b"), waiting.listener);
        expect(await running.end).toBe("answer 200 ok");
        // Sent before the answer, and delayed.
        admission.acceptReport(createReport(server.port, { sequence: 2 }));
        admission.submit(createOwnedRequest("c"), later.listener);
        expect(await waiting.end).toBe("refused server-leaving");
        expect(await later.end).toBe("refused server-leaving");
        expect(server.requests.length).toBe(1);
    });

    it("is not closed by the statement of a server that had its address before", async () => {
        let answerFirst: () => void = () => undefined;
        const { admission, server } = await openAdmission((socket, id) => {
            answerFirst = () => socket.write(formatAnswer(id, "ok", ["x-leaving: 1", "x-limit: 1"]));
        });
        const running = recordRequest();
        admission.submit(createOwnedRequest("a"), running.listener);
        await expect.poll(() => server.requests.length).toBe(1);
        admission.acceptReport(createReport(server.port, { sequence: 1, serverId: "server-2", startedAt: 2_000 }));
        answerFirst();
        await running.end;
        expect(admission.readLoad()).toMatchObject({ isOpen: true, limitPerSecond: undefined });
    });

    it("is not opened again by a late report of its start, but by a report of a later start", async () => {
        const { admission, server } = await openAdmission(() => undefined);
        admission.acceptDeparture("server-1", undefined);
        admission.acceptReport(createReport(server.port, { sequence: 9 }));
        expect(admission.readLoad().isOpen).toBe(false);
        admission.acceptReport(createReport(server.port, { sequence: 1, startedAt: 2_000 }));
        expect(admission.readLoad().isOpen).toBe(true);
    });
});

/** Guards against unknown outcomes of requests that are sent on a connection which the server has dropped. */
describe("a server that resets connections after 300 ms idle", () => {
    it("answers each non-idempotent request", async () => {
        const lastUsedAt = new Map<unknown, number>();
        const { admission } = await openAdmission((socket, id) => {
            if (performance.now() - (lastUsedAt.get(socket) ?? Infinity) > 300) {
                socket.resetAndDestroy();
                return;
            }
            lastUsedAt.set(socket, performance.now());
            socket.write(formatAnswer(id, "ok"));
        });
        const send = async (id: string): Promise<string> => {
            const request = recordRequest(() => queueMicrotask(() => handle.proceed()));
            const handle = admission.submit(createOwnedRequest(id, { kind: RequestKind.AtMostOnce }), request.listener);
            return request.end;
        };
        expect(await send("a")).toBe("answer 200 ok");
        await new Promise(resolve => setTimeout(resolve, 400));
        expect(await send("b")).toBe("answer 200 ok");
    });
});

/** Guards against slots that stay occupied by cancelled requests. */
describe("slots of a server", () => {
    it("are released by a repeatable request whose caller has disconnected", async () => {
        const { admission, server } = await openAdmission(() => undefined, 1);
        const handle = admission.submit(createOwnedRequest("a"), recordRequest().listener);
        await expect.poll(() => server.requests.length).toBe(1);
        handle.cancel();
        admission.submit(createOwnedRequest("b"), recordRequest().listener);
        await expect.poll(() => server.requests.length).toBe(2);
    });
});

/** Guards against waiting requests that reach a server after its daemon, which is stopping, has acknowledged that it leaves. */
describe("requests that wait for a slot during a planned stop", () => {
    async function startStop() {
        const sockets: Socket[] = [];
        const { admission, server } = await openAdmission(socket => sockets.push(socket), 1);
        const running = recordRequest();
        const waiting = recordRequest();
        admission.submit(createOwnedRequest("a"), running.listener);
        admission.submit(createOwnedRequest("b"), waiting.listener);
        await expect.poll(() => server.requests.length).toBe(1);
        admission.beginStop();
        return { admission, answer: () => sockets.at(-1)?.write(formatAnswer("a", "ok")), running, server, waiting };
    }

    it.each(["report", "departure"])(
        "are refused when the server leaves by a %s, and the running one ends",
        async kind => {
            const { admission, answer, running, server, waiting } = await startStop();
            if (kind === "report") {
                admission.acceptReport(
                    createReport(server.port, { phase: ServerPhase.Leaving, sequence: 2, slots: 1 }),
                );
            }
            else {
                admission.acceptDeparture("server-1", undefined);
            }
            expect(await waiting.end).toBe("refused server-leaving");
            answer();
            expect(await running.end).toBe("answer 200 ok");
            expect(server.requests).toHaveLength(1);
        },
    );

    it("are served while the server stays", async () => {
        const { answer, running, server, waiting } = await startStop();
        answer();
        expect(await running.end).toBe("answer 200 ok");
        await expect.poll(() => server.requests.length).toBe(2);
        expect(waiting.events).toEqual([]);
    });
});

// Guards against placing by a figure of another server, and against additional bytes where servers tell nothing.
describe("work factor of the server", () => {
    it("is reported once an answer tells it, and forgotten with the server", async () => {
        const { admission, server } = await openAdmission((socket, id) => {
            socket.write(formatAnswer(id, "ok", ["x-factor: 3"]));
        });
        expect(admission.readLoad().workFactor).toBeUndefined();
        const request = recordRequest();
        admission.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 ok");
        expect(admission.readLoad().workFactor).toBeGreaterThan(1);
        admission.acceptReport(createReport(server.port, { serverId: "server-2", startedAt: 2_000 }));
        expect(admission.readLoad().workFactor).toBeUndefined();
    });
});
