import { afterEach, describe, expect, it } from "vitest";
import type { ServiceSettings } from "../../../../state/document/index.js";
import { startBackend, startRawServer } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRequest } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

const DEPOSIT = { method: "POST", headers: { "idempotency-key": "k1" }, body: "40" };
const OK_ANSWER = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/** Starts a daemon `entry` without a server, and daemons `s1`, `s2`… with servers at the given ports. */
async function startServers(ports: readonly number[], service: Partial<ServiceSettings> = {}) {
    const mesh = await startMesh(
        buildDocument(service),
        [{ id: "entry" }, ...ports.map((serverPort, index) => ({ id: `s${index + 1}`, serverPort }))],
    );
    teardowns.add(() => mesh.stop());
    return mesh;
}

async function startClosedPort(): Promise<number> {
    const server = await startRawServer(() => undefined);
    await server.stop();
    return server.port;
}

// Guards against a non-repeatable request that runs twice, against wrong outcomes, and against retry storms.
describe("retries", () => {
    it("sends a keyed request to the next server when a connection is refused, and releases the claim", async () => {
        const backend = await startBackend((_received, _request, response) => response.end("ok"));
        teardowns.add(() => backend.stop());
        const mesh = await startServers([await startClosedPort(), backend.port]);
        const keys = ["a", "b", "c", "d", "e", "f"];
        for (const key of keys) {
            const answer = await sendRequest(`${mesh.getUrl("entry")}/deposits`, {
                ...DEPOSIT,
                headers: { "idempotency-key": key },
            });
            expect(answer).toMatchObject({ status: 200, outcome: "answered" });
        }
        expect(backend.received).toHaveLength(keys.length);
        const released = mesh.claims.calls.filter(name => name.startsWith("release"));
        expect(released.length).toBe(mesh.records.reduce((sum, record) => sum + record.attempts - 1, 0));
        expect(released.length).toBeGreaterThan(0);
    });

    it("does not repeat a non-repeatable request whose connection broke after its first byte", async () => {
        let requests = 0;
        const server = await startRawServer(socket => {
            requests++;
            socket.resetAndDestroy();
        });
        teardowns.add(() => server.stop());
        const mesh = await startServers([server.port]);
        const first = await sendRequest(`${mesh.getUrl("entry")}/deposits`, DEPOSIT);
        expect(first).toMatchObject({ status: 502, outcome: "unknown" });
        const second = await sendRequest(`${mesh.getUrl("entry")}/deposits`, DEPOSIT);
        expect(second).toMatchObject({ status: 502, outcome: "unknown" });
        expect(requests).toBe(1);
    });

    it("answers 409 already-ran to a repetition when the first answer broke off", async () => {
        const broken = await startRawServer(socket => socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf"));
        teardowns.add(() => broken.stop());
        const mesh = await startServers([broken.port]);
        expect((await sendRequest(`${mesh.getUrl("entry")}/deposits`, DEPOSIT)).isWhole).toBe(false);
        expect(await sendRequest(`${mesh.getUrl("entry")}/deposits`, DEPOSIT))
            .toMatchObject({ status: 409, outcome: "already-ran" });
    });

    it("refuses a new key as not run while keys can't be claimed", async () => {
        const backend = await startBackend((_received, _request, response) => response.end("ok"));
        teardowns.add(() => backend.stop());
        const mesh = await startServers([backend.port]);
        mesh.claims.isReachable = false;
        expect(await sendRequest(`${mesh.getUrl("entry")}/deposits`, DEPOSIT))
            .toMatchObject({ status: 503, outcome: "not-run", reason: "claim-refused" });
        expect(backend.received).toHaveLength(0);
    });

    it("refuses a non-repeatable request that has no key or two keys", async () => {
        const mesh = await startServers([]);
        const url = `${mesh.getUrl("entry")}/deposits`;
        expect(await sendRequest(url, { method: "POST" })).toMatchObject({ status: 400, reason: "missing-key" });
        expect(await sendRequest(url, { method: "POST", headers: { "idempotency-key": ["a", "b"] } }))
            .toMatchObject({ status: 400, reason: "missing-key" });
    });

    it("retries a repeatable request at another server after a reset", async () => {
        let resets = 0;
        const resetting = await startRawServer(socket => {
            resets++;
            socket.resetAndDestroy();
        });
        const working = await startRawServer(socket => socket.write(OK_ANSWER));
        teardowns.add(() => resetting.stop());
        teardowns.add(() => working.stop());
        const mesh = await startServers([resetting.port, working.port]);
        const answers = await Promise.all(
            Array.from({ length: 4 }, () => sendRequest(`${mesh.getUrl("entry")}/status`)),
        );
        for (const answer of answers) {
            expect(answer).toMatchObject({ status: 200, text: "ok" });
        }
        expect(resets).toBeGreaterThan(0);
    });

    it("reports the outcome as unknown when an earlier attempt may have run", async () => {
        const resetting = await startRawServer(socket => socket.resetAndDestroy());
        teardowns.add(() => resetting.stop());
        const mesh = await startServers([resetting.port, resetting.port]);
        mesh.getProxy("s2").setServerState("leaving");
        for (let count = 0; count < 5; count++) {
            expect(await sendRequest(`${mesh.getUrl("entry")}/status`)).toMatchObject({
                status: 502,
                outcome: "unknown",
            });
        }
    });

    it("keeps retries within the budget while the server declines every request", async () => {
        const backend = await startBackend((_received, _request, response) => response.writeHead(503).end("busy"));
        teardowns.add(() => backend.stop());
        const retry = { attempts: 3, budget: 0.2, minimumPerSecond: 0, baseDelayMs: 1, maximumDelayMs: 1 };
        const mesh = await startServers([backend.port], { retry });
        for (let count = 0; count < 100; count++) {
            expect((await sendRequest(`${mesh.getUrl("entry")}/status`)).status).toBe(503);
        }
        expect(backend.received.length).toBeGreaterThan(110);
        expect(backend.received.length).toBeLessThanOrEqual(120);
    });
});
