import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRequest, sleepFor, waitUntil } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";
import type { TestMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

const SLOTS = 6;

/** Starts four daemons that share one server with `SLOTS` slots; each answer takes 4 ms. */
async function startSharedServer(isColdStart: boolean, readWallClock?: () => number) {
    const backend = await startBackend((_received, _request, response) => {
        setTimeout(() => response.end("ok"), 4);
    });
    const mesh = await startMesh(buildDocument({ queue: { length: 100, deadlineMs: 5_000 } }, { timeoutMs: 5_000 }), [
        { id: "owner", serverPort: backend.port, slots: SLOTS },
        { id: "d1", ...readWallClock === undefined ? {} : { options: { readWallClock } } },
        { id: "d2" },
        { id: "d3", failureDomain: "erie-b" },
    ], isColdStart);
    teardowns.add(() => backend.stop());
    teardowns.add(() => mesh.stop());
    return { backend, mesh };
}

/** Sends requests from `concurrency` callers for each daemon until `isOver`. */
async function runLoad(mesh: TestMesh, concurrency: number, isOver: () => boolean): Promise<void> {
    const callers = [...mesh.proxies.keys()].flatMap(id => Array.from({ length: concurrency }, () => id));
    await Promise.all(callers.map(async id => {
        while (!isOver()) {
            await sendRequest(`${mesh.getUrl(id)}/status`);
        }
    }));
}

// Guards against more concurrent requests than a server has slots, through direct requests under stale leases.
describe("slots", () => {
    it("never exceeds a server's slots while several daemons use it directly and through its owner", async () => {
        const { backend, mesh } = await startSharedServer(false);
        await runLoad(mesh, 5, () => mesh.records.length >= 1_500);
        expect(backend.highestConcurrency()).toBeLessThanOrEqual(SLOTS);
        expect(backend.highestConcurrency()).toBeGreaterThan(2);
        expect(new Set(mesh.records.map(record => record.hop))).toEqual(new Set(["local", "relayed", "direct"]));
        expect(mesh.records.every(record => record.status === 200)).toBe(true);
    });

    it("uses only the reserved slots after an owner's start, until leases of an earlier run have expired", async () => {
        const { backend, mesh } = await startSharedServer(true);
        await runLoad(mesh, 5, () => mesh.records.length >= 150);
        expect(backend.highestConcurrency()).toBeLessThanOrEqual(2);
        expect(mesh.records.some(record => record.hop === "direct")).toBe(false);
        mesh.advance(2_000);
        await runLoad(mesh, 5, () => mesh.records.some(record => record.hop === "direct"));
        expect(backend.highestConcurrency()).toBeLessThanOrEqual(SLOTS);
    });

    /** Waits until the daemon `d1` holds a lease, and until it is over after a `pause`; then the next request is relayed. */
    async function expectRelayedAfter(mesh: TestMesh, pause: () => void): Promise<void> {
        await sendRequest(`${mesh.getUrl("d1")}/status`);
        const isLeased = () =>
            (mesh.getProxy("d1").explain({ method: "GET", path: "/status" }).servers[0]?.leasedSlots ?? 0) > 0;
        await waitUntil(isLeased);
        pause();
        expect(isLeased()).toBe(false);
        await sendRequest(`${mesh.getUrl("d1")}/status`);
        expect(mesh.records.at(-1)?.hop).toBe("relayed");
    }

    it("relays a request after the lease expired while its holder was paused", async () => {
        const { mesh } = await startSharedServer(false);
        await expectRelayedAfter(mesh, () => mesh.advance(2_000));
    });

    it("relays a request after the lease expired while its holder's VM was suspended", async () => {
        let suspendedMs = 0;
        const { mesh } = await startSharedServer(false, () => performance.now() + suspendedMs);
        await expectRelayedAfter(mesh, () => {
            suspendedMs = 2_000;
        });
    });
});

// Guards against requests that fail or are sent to a server after it has announced that it leaves.
describe("leaving servers", () => {
    it("sends a leaving server no new requests, completes those in flight, and retries elsewhere", async () => {
        let isLeaving = false;
        let startedAfter = 0;
        const answer: Parameters<typeof startBackend>[0] = (_received, _request, response) => {
            setTimeout(() => response.end("ok"), 20);
        };
        const leaving = await startBackend((received, request, response) => {
            startedAfter += isLeaving ? 1 : 0;
            answer(received, request, response);
        });
        const staying = await startBackend(answer);
        const mesh = await startMesh(buildDocument({ queue: { length: 100, deadlineMs: 2_000 } }), [
            { id: "leaving", serverPort: leaving.port, slots: 8 },
            { id: "staying", serverPort: staying.port, slots: 8 },
            { id: "entry" },
        ]);
        teardowns.add(() => leaving.stop());
        teardowns.add(() => staying.stop());
        teardowns.add(() => mesh.stop());
        let isOver = false;
        const load = Promise.all(["entry", "staying", "leaving"].map(async id => {
            while (!isOver) {
                await sendRequest(`${mesh.getUrl(id)}/status`);
            }
        }));
        await waitUntil(() => leaving.received.length > 5);
        mesh.getProxy("leaving").setServerState("leaving");
        // Direct requests under a lease may start until the next renewal, 1 s later, but not after it.
        await sleepFor(1_300);
        isLeaving = true;
        const before = mesh.records.length;
        await waitUntil(() => mesh.records.length > before + 100);
        isOver = true;
        await load;
        expect(startedAfter).toBe(0);
        expect(mesh.records.every(record => record.status === 200)).toBe(true);
        expect(leaving.received.every(received => !received.isAborted)).toBe(true);
    });
});

// Guards against a stop that breaks off requests in flight or accepts new ones.
describe("stopping", () => {
    it("completes requests in flight, refuses new ones as not run, and closes its ports", async () => {
        const open: (() => void)[] = [];
        const backend = await startBackend((_received, _request, response) => {
            response.write("first ");
            open.push(() => response.end("second"));
        });
        teardowns.add(() => backend.stop());
        const mesh = await startMesh(buildDocument(), [{ id: "owner", serverPort: backend.port }, { id: "entry" }]);
        const running = ["owner", "entry"].map(id => sendRequest(`${mesh.getUrl(id)}/status`));
        await waitUntil(() => open.length === 2);
        const stopped = mesh.stop();
        const refused = await sendRequest(`${mesh.getUrl("entry")}/status`, { headers: { connection: "keep-alive" } });
        expect(refused).toMatchObject({ status: 503, outcome: "not-run", reason: "stopping" });
        expect(refused.headers.connection).toBe("close");
        for (const end of open) {
            end();
        }
        for (const answer of await Promise.all(running)) {
            expect(answer).toMatchObject({ status: 200, text: "first second", isWhole: true });
        }
        await stopped;
        expect((await sendRequest(`${mesh.getUrl("entry")}/status`)).status).toBe(0);
    });
});
