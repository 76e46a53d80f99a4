import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRaw, sendRequest, waitUntil } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

/** Starts a mesh whose server answers no request. */
async function startUnresponsiveServer(routeTimeoutMs: number) {
    const backend = await startBackend(() => undefined);
    const mesh = await startMesh(buildDocument({}, { timeoutMs: routeTimeoutMs }), [
        { id: "owner", serverPort: backend.port },
        { id: "entry" },
    ]);
    teardowns.add(() => backend.stop());
    teardowns.add(() => mesh.stop());
    return { backend, mesh };
}

// Guards against requests that occupy a server after their deadline or after their caller is gone.
describe("deadlines and cancellation", () => {
    for (const id of ["owner", "entry"]) {
        it(`passes the remaining time to the server and closes the connection after it (through ${id})`, async () => {
            const { backend, mesh } = await startUnresponsiveServer(10_000);
            const answer = await sendRequest(`${mesh.getUrl(id)}/status`, {
                headers: { "papayaturn-deadline-ms": "600" },
            });
            expect(answer).toMatchObject({ status: 504, outcome: "unknown" });
            await waitUntil(() => backend.received.length > 0);
            const passed = Number(backend.received[0]?.headers["papayaturn-deadline-ms"]);
            expect(passed).toBeGreaterThan(0);
            expect(passed).toBeLessThanOrEqual(600);
            await waitUntil(() => backend.received.every(received => received.isAborted));
        });

        it(`closes the connection to the server when the caller cancels (through ${id})`, async () => {
            const { backend, mesh } = await startUnresponsiveServer(10_000);
            const answer = sendRequest(`${mesh.getUrl(id)}/status`, { cancelAfterMs: 50 });
            await waitUntil(() => backend.received.length === 1);
            await answer;
            await waitUntil(() => backend.received[0]?.isAborted === true);
            await waitUntil(() =>
                mesh.getProxy("owner").readLoad().used === 0
                || mesh.getProxy("entry").explain({ method: "GET", path: "/status" }).servers[0]?.leasedSlots !== 0
            );
        });
    }

    it("does not eject a server for requests that callers cancel or give a short deadline", async () => {
        const { mesh } = await startUnresponsiveServer(10_000);
        const member = mesh.view.members.get("owner");
        const second = member === undefined ? [] : [member, { ...member, id: "second" }];
        mesh.view = { ...mesh.view, membersByService: new Map([["ledger", second]]) };
        const given = { headers: { "papayaturn-deadline-ms": "20" } };
        const url = `${mesh.getUrl("owner")}/status`;
        for (let round = 0; round < 6; round++) {
            await Promise.all([sendRequest(url, given), sendRequest(url, { cancelAfterMs: 20 })]);
        }
        expect(mesh.events.filter(event => event.kind === "ejected")).toEqual([]);
    });

    it("continues a non-repeatable request when its caller cancels, and replays its answer later", async () => {
        let answerNow: (() => void) | undefined;
        const backend = await startBackend((_received, _request, response) => {
            answerNow = () => response.end("paid");
        });
        const mesh = await startMesh(buildDocument(), [{ id: "owner", serverPort: backend.port }, { id: "entry" }]);
        teardowns.add(() => backend.stop());
        teardowns.add(() => mesh.stop());
        const deposit = { method: "POST", headers: { "idempotency-key": "k" }, body: "40" };
        const cancelled = sendRequest(`${mesh.getUrl("entry")}/deposits`, { ...deposit, cancelAfterMs: 50 });
        await waitUntil(() => answerNow !== undefined);
        await cancelled;
        const repeated = sendRequest(`${mesh.getUrl("entry")}/deposits`, deposit);
        await waitUntil(() => mesh.claims.calls.length === 2);
        answerNow?.();
        expect(await repeated).toMatchObject({ outcome: "replayed", text: "paid" });
        expect(backend.received).toHaveLength(1);
    });

    it("refuses a request as not run when its body does not arrive before the deadline", async () => {
        const { backend, mesh } = await startUnresponsiveServer(100);
        const answer = await sendRaw(
            mesh.getProxy("owner").requestPort,
            "POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 10\r\n\r\nabc",
        );
        expect(answer).toMatch(/^HTTP\/1.1 503 .*papayaturn-outcome: not-run/s);
        expect(backend.received).toHaveLength(0);
    });

    it("cuts an answer that does not end before the deadline", async () => {
        const backend = await startBackend((_received, _request, response) => {
            const timer = setInterval(() => response.write("more"), 5);
            response.on("close", () => {
                clearInterval(timer);
            });
        });
        const mesh = await startMesh(buildDocument({}, { timeoutMs: 150 }), [{
            id: "owner",
            serverPort: backend.port,
        }]);
        teardowns.add(() => backend.stop());
        teardowns.add(() => mesh.stop());
        expect((await sendRequest(`${mesh.getUrl("owner")}/status`)).isWhole).toBe(false);
        await waitUntil(() => backend.received[0]?.isAborted === true);
    });

    it("stops reading from the server while the caller does not read", async () => {
        let written = 0;
        const block = Buffer.alloc(65_536);
        const backend = await startBackend((_received, _request, response) => {
            const fill = (): void => {
                while (response.write(block)) {
                    written += block.length;
                }
            };
            response.on("drain", fill);
            fill();
        });
        const mesh = await startMesh(buildDocument({}, { timeoutMs: 400 }), [{
            id: "owner",
            serverPort: backend.port,
        }]);
        teardowns.add(() => backend.stop());
        teardowns.add(() => mesh.stop());
        const { connect } = await import("node:net");
        const socket = connect(mesh.getProxy("owner").requestPort, "127.0.0.1", () => {
            socket.write("GET /status HTTP/1.1\r\nhost: a\r\n\r\n");
            socket.pause();
        });
        await waitUntil(() => backend.received[0]?.isAborted === true);
        socket.destroy();
        // Kernel buffers of two loopback connections hold a few megabytes; 400 ms without backpressure is far more.
        expect(written).toBeLessThan(32 * 1_048_576);
    });
});
