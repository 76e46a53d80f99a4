import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRequest, waitUntil } from "../fixtures/Caller.js";
import type { CallerAnswer } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

/** Starts a server with two slots that holds each answer until the test ends it. */
async function startHoldingServer(queueLength: number) {
    const held: { readonly url: string; readonly end: () => void; }[] = [];
    const backend = await startBackend((received, _request, response) => {
        held.push({ url: received.url, end: () => response.end("ok") });
    });
    const retry = { attempts: 1, budget: 0, minimumPerSecond: 0, baseDelayMs: 1, maximumDelayMs: 1 };
    const document = buildDocument({ queue: { length: queueLength, deadlineMs: 5_000 }, retry }, { timeoutMs: 5_000 });
    const mesh = await startMesh(document, [{ id: "owner", serverPort: backend.port, slots: 2 }]);
    teardowns.add(() => backend.stop());
    teardowns.add(() => mesh.stop());
    const send = (path: string) => sendRequest(`${mesh.getUrl("owner")}${path}`);
    return { held, mesh, send };
}

// Guards against excess load that blocks slots, and against one class that displaces another.
describe("overload", () => {
    it("refuses requests beyond slots and queue as not run, and serves again after the overload", async () => {
        const { held, mesh, send } = await startHoldingServer(4);
        const answers: CallerAnswer[] = [];
        const running = Array.from({ length: 20 }, async () => {
            answers.push(await send("/status"));
        });
        await waitUntil(() => answers.length === 14 && held.length === 2);
        for (const refused of answers) {
            expect(refused).toMatchObject({ status: 503, outcome: "not-run", reason: "overloaded" });
            expect(Number(refused.headers["retry-after"])).toBeGreaterThanOrEqual(1);
        }
        for (let ended = 0; ended < 6; ended++) {
            await waitUntil(() => held.length > ended);
            held[ended]?.end();
        }
        await Promise.all(running);
        expect(answers.filter(answer => answer.status === 200)).toHaveLength(6);
        expect(mesh.getProxy("owner").readLoad()).toMatchObject({ used: 0, queued: 0 });
        const after = send("/status");
        await waitUntil(() => held.length === 7);
        held[6]?.end();
        expect(await after).toMatchObject({ status: 200 });
    });

    it("shares slots between classes in proportion to their weights and starves none", async () => {
        const { held, mesh, send } = await startHoldingServer(40);
        const running = [
            ...Array.from({ length: 20 }, () => send("/status")),
            ...Array.from({ length: 20 }, () => send("/camps")),
        ];
        await waitUntil(() => mesh.getProxy("owner").readLoad().queued === 38);
        for (let ended = 0; ended < 40; ended++) {
            await waitUntil(() => held.length > ended);
            held[ended]?.end();
        }
        await Promise.all(running);
        // The first two were admitted without queueing; families have weight 3 and camps weight 1.
        const families = held.slice(2, 22).filter(({ url }) => url === "/status").length;
        expect(families).toBeGreaterThanOrEqual(14);
        expect(families).toBeLessThanOrEqual(16);
    });

    it("admits a class to its share of a queue that another class has filled", async () => {
        const { held, mesh, send } = await startHoldingServer(8);
        const flood = Array.from({ length: 30 }, () => send("/status"));
        await waitUntil(() => mesh.getProxy("owner").readLoad().queued === 8);
        const modest = [send("/camps"), send("/camps")];
        await waitUntil(() => mesh.events.filter(event => event.reason === "overloaded").length === 22);
        for (let ended = 0; ended < 10; ended++) {
            await waitUntil(() => held.length > ended);
            held[ended]?.end();
        }
        for (const answer of await Promise.all(modest)) {
            expect(answer.status).toBe(200);
        }
        expect((await Promise.all(flood)).filter(answer => answer.status === 200)).toHaveLength(8);
    });

    it("refuses a class with 429 beyond its maximum share of the slots", async () => {
        const { held, mesh, send } = await startHoldingServer(0);
        const document = mesh.view.configuration?.document;
        expect(document).toBeDefined();
        if (document !== undefined) {
            const camps = { name: "camps", weight: 1, maximumShare: 0.5 };
            mesh.setDocument({ ...document, classes: { ...document.classes, camps } });
        }
        const first = send("/camps");
        await waitUntil(() => held.length === 1);
        expect(await send("/camps")).toMatchObject({ status: 429, outcome: "not-run", reason: "class-limit" });
        held[0]?.end();
        expect((await first).status).toBe(200);
    });
});

// Guards against a failing server that keeps getting requests, and against ejecting a server or a service needlessly.
describe("outlier ejection", () => {
    /** Starts two servers that answer with the given statuses, and sends 60 requests through a third daemon. */
    async function startTwoServers(failing: (url: string) => number, working: (url: string) => number) {
        const respond =
            (choose: (url: string) => number): Parameters<typeof startBackend>[0] => (received, _request, response) =>
                response.writeHead(choose(received.url)).end("x");
        const first = await startBackend(respond(failing));
        const second = await startBackend(respond(working));
        const mesh = await startMesh(buildDocument(), [
            { id: "s1", serverPort: first.port },
            { id: "s2", serverPort: second.port },
            { id: "entry" },
        ]);
        teardowns.add(() => first.stop());
        teardowns.add(() => second.stop());
        teardowns.add(() => mesh.stop());
        const send = () => sendRequest(`${mesh.getUrl("entry")}/status`);
        for (let round = 0; round < 20; round++) {
            await Promise.all([send(), send(), send()]);
        }
        const isEjected = (id: string) =>
            mesh.getProxy("entry").explain({ method: "GET", path: "/status" }).servers
                .find(server => server.id === id)?.isEjected;
        return { first, second, mesh, send, isEjected };
    }

    it("ejects a server whose requests fail while its health endpoint succeeds, and later retries it", async () => {
        let isFailing = true;
        const chooseStatus = (url: string) => isFailing && !url.startsWith("/health") ? 500 : 200;
        const { first, mesh, send, isEjected } = await startTwoServers(chooseStatus, () => 200);
        expect(isEjected("s1")).toBe(true);
        expect(mesh.events.some(event => event.kind === "ejected")).toBe(true);
        const received = first.received.length;
        await Promise.all([send(), send(), send()]);
        expect(first.received.length).toBe(received);
        isFailing = false;
        mesh.advance(6_000);
        for (let round = 0; round < 10; round++) {
            await Promise.all([send(), send(), send()]);
        }
        expect(isEjected("s1")).toBe(false);
        expect(first.received.length).toBeGreaterThan(received);
    });

    it("keeps a server whose requests succeed while its health endpoint reports a failure", async () => {
        const { first, isEjected } = await startTwoServers(url => url.startsWith("/health") ? 503 : 200, () => 200);
        expect(isEjected("s1")).toBe(false);
        expect(first.received.length).toBeGreaterThan(0);
    });

    it("ejects at most half of a service's servers", async () => {
        const { isEjected } = await startTwoServers(() => 500, () => 500);
        expect([isEjected("s1"), isEjected("s2")].filter(Boolean)).toHaveLength(1);
    });
});
