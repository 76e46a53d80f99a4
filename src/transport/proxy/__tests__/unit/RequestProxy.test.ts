import { request } from "undici";
import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const teardown of teardowns.splice(0).reverse()) {
        await teardown();
    }
});

async function startPair() {
    const backend = await startBackend((seen, _request, response) => {
        response.setHeader("x-seen", seen.url);
        response.end(`${seen.method} ${seen.body}`);
    });
    const mesh = await startMesh(buildDocument(), [{ id: "owner", serverPort: backend.port }, { id: "entry" }]);
    teardowns.push(() => backend.stop(), () => mesh.stop());
    return { backend, mesh };
}

describe("request path", () => {
    it("sends a request for the own server to it and returns its whole answer", async () => {
        const { mesh } = await startPair();
        const answer = await request(`${mesh.getUrl("owner")}/status/7?x=1`, { method: "PUT", body: "canvas" });
        expect(answer.statusCode).toBe(200);
        expect(answer.headers["x-seen"]).toBe("/status/7?x=1");
        expect(answer.headers["papayaturn-outcome"]).toBe("answered");
        expect(await answer.body.text()).toBe("PUT canvas");
        expect(mesh.records.at(-1)).toMatchObject({ hop: "local", server: "owner", attempts: 1, status: 200 });
    });

    it("relays a request through the owner when no slot is leased", async () => {
        const { mesh } = await startPair();
        const answer = await request(`${mesh.getUrl("entry")}/status/7`);
        expect(await answer.body.text()).toBe("GET ");
        expect(mesh.records.at(-1)).toMatchObject({ hop: "relayed", server: "owner", status: 200 });
    });

    it("runs a repeated key once and returns the first answer again", async () => {
        const { backend, mesh } = await startPair();
        const post = () =>
            request(`${mesh.getUrl("entry")}/deposits`, {
                method: "POST",
                headers: { "idempotency-key": "k1" },
                body: "40",
            });
        const first = await post();
        expect([first.headers["papayaturn-outcome"], await first.body.text()]).toEqual(["answered", "POST 40"]);
        const second = await post();
        expect([second.headers["papayaturn-outcome"], await second.body.text()]).toEqual(["replayed", "POST 40"]);
        expect(backend.seen).toHaveLength(1);
    });
});
