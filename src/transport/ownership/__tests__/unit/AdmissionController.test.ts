import { afterEach, describe, expect, it } from "vitest";
import { ServerPhase } from "../../../../coordination/registration/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { AdmissionController } from "../../index.js";
import { createAdmissionController, createOwnedRequest, createReport, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw, RawServer } from "../fixtures/RawServer.js";

const closers: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

async function openGate(answer: AnswerRaw, slots = 2): Promise<{ gate: AdmissionController; server: RawServer; }> {
    const server = await startRawServer(answer);
    const gate = createAdmissionController(server.port, { slots });
    closers.push(() => server.close(), () => gate.closeAll());
    return { gate, server };
}

describe("answers of a faulty server", () => {
    it("passes a whole answer on and tells the server who asks and how long", async () => {
        const { gate, server } = await openGate((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 ok");
        expect(server.requests[0]).toContain("x-server: server-1");
        expect(server.requests[0]).toContain("x-caller: status-desk");
    });

    it("drops an answer that names another request and waits for the right one", async () => {
        const { gate } = await openGate((socket, id) => {
            socket.write(formatAnswer("somebody-else", "not yours"));
            socket.write(formatAnswer(id, "yours"));
        });
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 yours");
    });

    it("never gives the bytes after a complete answer to the next request", async () => {
        const { gate } = await openGate((socket, id, count) => {
            socket.write(formatAnswer(id, `answer ${count}`) + (count === 1 ? formatAnswer("late", "extra") : ""));
        });
        const first = recordRequest();
        gate.submit(createOwnedRequest("a"), first.listener);
        await first.end;
        const second = recordRequest();
        gate.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("answer 200 answer 2");
    });

    it.each([
        [
            "is shorter than it states",
            (id: string) => `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nContent-Length: 9\r\n\r\nab`,
        ],
        ["is no HTTP", () => "\u0001\u0002 what\r\n\r\n"],
        ["names no request", () => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab"],
    ])("calls a request unknown whose answer %s", async (_name, format) => {
        const { gate } = await openGate((socket, id) => socket.end(format(id)));
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });

    it("marks an answer without a length, so that it gets none on the way", async () => {
        const { gate } = await openGate((socket, id) =>
            socket.end(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nConnection: close\r\n\r\npart`)
        );
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("answer 200 close-delimited part");
    });

    it("calls an answer without a length unknown whose connection was reset", async () => {
        const { gate } = await openGate((socket, id) => {
            socket.write(`HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\n\r\npart`, () => {
                setTimeout(() => socket.resetAndDestroy(), 30);
            });
        });
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("unknown");
    });

    it("reads the next answer on a connection whose last answer was paused by its reader", async () => {
        const { gate } = await openGate((socket, id) => socket.write(formatAnswer(id, "x".repeat(100_000))));
        const first = recordRequest();
        const events = { ...first.listener, onData: () => handle.pause() };
        const handle = gate.submit(createOwnedRequest("a"), events);
        // The rest of the answer is read whenever the reader goes on.
        const timer = setInterval(() => handle.resume(), 5);
        await first.end;
        clearInterval(timer);
        const second = recordRequest();
        gate.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("end");
    });
});

describe("what was not run", () => {
    it("tells a server's own statement that it did not run the request", async () => {
        const { gate } = await openGate((socket, id) =>
            socket.write(`HTTP/1.1 503 Busy\r\nRequest-Id: ${id}\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n`)
        );
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("declined");
    });

    it("refuses a request when no connection can be made, and closes the gate", async () => {
        const { gate, server } = await openGate(() => undefined);
        await server.close();
        const request = recordRequest();
        gate.submit(createOwnedRequest("a"), request.listener);
        expect(await request.end).toBe("refused server-unreachable");
        expect(gate.readLoad().isOpen).toBe(false);
    });

    it("refuses a request of another service", async () => {
        const { gate } = await openGate(() => undefined);
        const request = recordRequest();
        gate.submit(createOwnedRequest("a", { service: "workroom" }), request.listener);
        expect(await request.end).toBe("refused misdirected");
    });

    it("refuses a request whose parts would change the message", async () => {
        const { gate, server } = await openGate(() => undefined);
        const request = recordRequest();
        gate.submit(createOwnedRequest("a", { headers: ["x", "1\r\nRequest-Id: smuggled"] }), request.listener);
        expect(await request.end).toBe("refused bad-request");
        expect(server.requests).toEqual([]);
    });
});

describe("requests that may run once", () => {
    const once = { kind: RequestKind.AtMostOnce, method: "POST" } as const;

    it("send nothing before the caller's side proceeds", async () => {
        const { gate, server } = await openGate((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        const handle = gate.submit(createOwnedRequest("a", once), request.listener);
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(request.events).toEqual(["offer"]);
        expect(server.requests).toEqual([]);
        handle.proceed();
        expect(await request.end).toBe("answer 200 ok");
    });

    it("are refused when the offer is not answered, and never run later", async () => {
        const { gate, server } = await openGate((socket, id) => socket.write(formatAnswer(id, "ok")));
        const request = recordRequest();
        const handle = gate.submit(createOwnedRequest("a", once), request.listener);
        expect(await request.end).toBe("refused server-leaving");
        handle.proceed();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(server.requests).toEqual([]);
        expect(gate.running).toBe(0);
    });

    it("run on when their caller has left", async () => {
        const { gate, server } = await openGate(() => undefined);
        const request = recordRequest();
        const handle = gate.submit(createOwnedRequest("a", once), request.listener);
        handle.proceed();
        await expect.poll(() => server.requests.length).toBe(1);
        handle.cancel();
        await new Promise(resolve => setTimeout(resolve, 50));
        expect(server.connections[0]?.destroyed).toBe(false);
    });
});

describe("a leaving server", () => {
    it("gets nothing after its report was taken in, also not what was waiting", async () => {
        const { gate, server } = await openGate(() => undefined, 1);
        const running = recordRequest();
        const waiting = recordRequest();
        const later = recordRequest();
        gate.submit(createOwnedRequest("a"), running.listener);
        gate.submit(createOwnedRequest("b"), waiting.listener);
        gate.acceptReport(createReport(server.port, { phase: ServerPhase.Leaving, sequence: 2 }));
        gate.submit(createOwnedRequest("c"), later.listener);
        expect(await waiting.end).toBe("refused server-leaving");
        expect(await later.end).toBe("refused server-leaving");
        await expect.poll(() => server.requests.length).toBe(1);
    });

    it("is not opened again by a late report of its start", async () => {
        const { gate, server } = await openGate(() => undefined);
        gate.acceptDeparture("server-1", undefined);
        gate.acceptReport(createReport(server.port, { sequence: 9 }));
        expect(gate.readLoad().isOpen).toBe(false);
        gate.acceptReport(createReport(server.port, { sequence: 1, startedAt: 2_000 }));
        expect(gate.readLoad().isOpen).toBe(true);
    });
});

describe("a server that forgets connections which rested", () => {
    it("loses no request that may run once", async () => {
        const restedAt = new Map<unknown, number>();
        const { gate } = await openGate((socket, id) => {
            if (performance.now() - (restedAt.get(socket) ?? Infinity) > 300) {
                socket.resetAndDestroy();
                return;
            }
            restedAt.set(socket, performance.now());
            socket.write(formatAnswer(id, "ok"));
        });
        const send = async (id: string): Promise<string> => {
            const request = recordRequest(() => queueMicrotask(() => handle.proceed()));
            const handle = gate.submit(createOwnedRequest(id, { kind: RequestKind.AtMostOnce }), request.listener);
            return request.end;
        };
        expect(await send("a")).toBe("answer 200 ok");
        await new Promise(resolve => setTimeout(resolve, 400));
        expect(await send("b")).toBe("answer 200 ok");
    });
});

describe("slots", () => {
    it("frees the slot of a repeatable request whose caller has left", async () => {
        const { gate, server } = await openGate(() => undefined, 1);
        const handle = gate.submit(createOwnedRequest("a"), recordRequest().listener);
        await expect.poll(() => server.requests.length).toBe(1);
        handle.cancel();
        gate.submit(createOwnedRequest("b"), recordRequest().listener);
        await expect.poll(() => server.requests.length).toBe(2);
    });
});
