import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRaw, sendRequest, waitUntil } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

/** Starts a daemon with a server that echoes requests, and a daemon without a server. */
async function startPair() {
    const backend = await startBackend((received, _request, response) => {
        response.writeHead(received.url.includes("empty") ? 204 : 200, {
            "x-seen": received.url,
            "connection": "x-hop",
            "x-hop": "1",
            ...(received.url.includes("trailer") ? { trailer: "x-sum" } : {}),
        });
        if (received.url.includes("trailer")) {
            response.write("with ");
            response.addTrailers({ "x-sum": "42" });
        }
        response.end(received.url.includes("empty") ? undefined : `${received.method} ${received.body}`);
    });
    const mesh = await startMesh(buildDocument(), [{ id: "owner", serverPort: backend.port }, { id: "entry" }]);
    teardowns.add(() => backend.stop());
    teardowns.add(() => mesh.stop());
    return { backend, mesh };
}

/** Sends a request through the entry daemon and waits until it holds a slot lease. */
async function awaitLease(mesh: Awaited<ReturnType<typeof startMesh>>): Promise<void> {
    await sendRequest(`${mesh.getUrl("entry")}/status`);
    await waitUntil(() =>
        (mesh.getProxy("entry").explain({ method: "GET", path: "/status" }).servers[0]?.leasedSlots ?? 0) > 0
    );
}

// Guards against requests and answers that are changed or lost on one of the three hops.
describe("request path", () => {
    it("reaches a server locally, through its owner, and directly once slots are leased", async () => {
        const { mesh } = await startPair();
        await sendRequest(`${mesh.getUrl("owner")}/status/7`);
        await awaitLease(mesh);
        const answer = await sendRequest(`${mesh.getUrl("entry")}/status/7?x=1`, { method: "PUT", body: "canvas" });
        expect(answer).toMatchObject({ status: 200, outcome: "answered", text: "PUT canvas", isWhole: true });
        expect(answer.headers["x-seen"]).toBe("/status/7?x=1");
        expect(mesh.records.map(record => record.hop)).toEqual(["local", "relayed", "direct"]);
    });

    it("passes on trailers, empty answers and answers to HEAD, and drops hop-by-hop headers on every hop", async () => {
        const { mesh } = await startPair();
        for (const id of ["owner", "entry"]) {
            const withTrailer = await sendRequest(`${mesh.getUrl(id)}/status/trailer`);
            expect(withTrailer).toMatchObject({ text: "with GET ", trailers: { "x-sum": "42" }, isWhole: true });
            expect(withTrailer.headers["x-hop"]).toBeUndefined();
            expect(await sendRequest(`${mesh.getUrl(id)}/status/empty`)).toMatchObject({
                status: 204,
                text: "",
                isWhole: true,
            });
            expect(await sendRequest(`${mesh.getUrl(id)}/status`, { method: "HEAD" }))
                .toMatchObject({ status: 200, text: "", isWhole: true });
        }
    });

    it("answers Expect: 100-continue itself, and only for a body within the route's limit", async () => {
        const { backend, mesh } = await startPair();
        const head = (length: number) =>
            `PUT /status HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: ${length}\r\n`
            + "connection: close\r\n\r\n";
        const accepted = await sendRaw(mesh.getProxy("entry").requestPort, `${head(3)}abc`);
        expect(accepted).toMatch(/^HTTP\/1.1 100 Continue\r\n\r\nHTTP\/1.1 200/);
        const refused = await sendRaw(mesh.getProxy("entry").requestPort, head(5_000_000));
        expect(refused).toMatch(/^HTTP\/1.1 413 .*papayaturn-reason: request-too-large/s);
        expect(backend.received).toHaveLength(1);
    });

    it("passes a large body and a large answer unchanged", async () => {
        const { mesh } = await startPair();
        const body = "0123456789".repeat(90_000);
        for (const id of ["owner", "entry"]) {
            const answer = await sendRequest(`${mesh.getUrl(id)}/status`, { method: "POST", body });
            expect(answer.isWhole).toBe(true);
            expect(answer.text === `POST ${body}`).toBe(true);
        }
    });
});
