import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRaw, sendRequest } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

async function startPair(maximumRequestBytes = 1_000_000) {
    const backend = await startBackend((_received, _request, response) => response.end("ok"));
    const mesh = await startMesh(buildDocument({}, { maximumRequestBytes }), [
        { id: "owner", serverPort: backend.port },
        { id: "entry" },
    ]);
    teardowns.add(() => backend.stop());
    teardowns.add(() => mesh.stop());
    return { backend, mesh };
}

const MALFORMED = {
    "conflicting lengths": "POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd",
    "a length and chunks":
        "POST /status HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "a malformed header": "GET /status HTTP/1.1\r\nhost: a\r\nbad header\r\n\r\n",
    "a space before the colon": "GET /status HTTP/1.1\r\nhost: a\r\nx-a : b\r\n\r\n",
    "no host": "GET /status HTTP/1.1\r\nconnection: close\r\n\r\n",
    "two hosts": "GET /status HTTP/1.1\r\nhost: a\r\nhost: b\r\nconnection: close\r\n\r\n",
    "a dot segment": "GET /status/../admin HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "an encoded dot segment": "GET /status/%2e%2E/admin HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "no path": "OPTIONS * HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "credentials in its target": "GET http://u@a/status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    "a malformed deadline":
        "GET /status HTTP/1.1\r\nhost: a\r\npapayaturn-deadline-ms: soon\r\nconnection: close\r\n\r\n",
};

// Guards against callers that get a malformed or forged request past the checks of the proxy, for example by
// request smuggling, by leaving a route's prefix, or with headers that only daemons may send.
describe("hostile input", () => {
    for (const [name, bytes] of Object.entries(MALFORMED)) {
        it(`refuses a request with ${name} with 400 and sends nothing to the server`, async () => {
            const { backend, mesh } = await startPair();
            const answer = await sendRaw(mesh.getProxy("owner").requestPort, bytes);
            expect(answer).toMatch(/^HTTP\/1.1 400 /);
            expect(answer).not.toMatch(/HTTP\/1.1 200/);
            expect(backend.received).toHaveLength(0);
        });
    }

    it("refuses oversized headers with 431 and oversized bodies with 413", async () => {
        const { backend, mesh } = await startPair(100);
        const port = mesh.getProxy("owner").requestPort;
        const long = await sendRaw(port, `GET /status HTTP/1.1\r\nhost: a\r\nx-a: ${"b".repeat(20_000)}\r\n\r\n`);
        expect(long).toMatch(/^HTTP\/1.1 431 .*papayaturn-outcome: not-run/s);
        const stated = await sendRequest(`${mesh.getUrl("owner")}/status`, { method: "POST", body: "x".repeat(101) });
        expect(stated).toMatchObject({ status: 413, outcome: "not-run" });
        expect(backend.received).toHaveLength(0);
        const chunk = `65\r\n${"x".repeat(101)}\r\n`;
        const chunked = await sendRaw(
            port,
            `POST /status HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`,
        );
        expect(chunked).toMatch(/^HTTP\/1.1 413 .*papayaturn-outcome: (unknown|not-run)/s);
    });

    it("refuses an upgrade with 501 and a tunnel with 400", async () => {
        const { backend, mesh } = await startPair();
        const port = mesh.getProxy("owner").requestPort;
        const upgrade = await sendRaw(
            port,
            "GET /status HTTP/1.1\r\nhost: a\r\nconnection: upgrade, close\r\nupgrade: websocket\r\n\r\n",
        );
        expect(upgrade).toMatch(/^HTTP\/1.1 501 .*papayaturn-outcome: not-run/s);
        expect(await sendRaw(port, "CONNECT 127.0.0.1:80 HTTP/1.1\r\nhost: a\r\n\r\n")).toMatch(/^HTTP\/1.1 400/);
        expect(backend.received).toHaveLength(0);
    });

    it("ignores mesh headers of callers and does not pass them to the server", async () => {
        const { backend, mesh } = await startPair();
        const answer = await sendRequest(`${mesh.getUrl("entry")}/status`, {
            headers: {
                "papayaturn-target": "owner",
                "papayaturn-token": "forged",
                "papayaturn-class": "camps",
                "papayaturn-outcome": "answered",
                "papayaturn-anything": "x",
            },
        });
        expect(answer.status).toBe(200);
        const passed = Object.keys(backend.received[0]?.headers ?? {}).filter(name => name.startsWith("papayaturn-"));
        expect(passed.sort()).toEqual(["papayaturn-attempt", "papayaturn-deadline-ms"]);
        expect(mesh.records.at(-1)?.class).toBe("families");
    });

    it("refuses requests and lease renewals without a valid token on the relay port with 403", async () => {
        const { backend, mesh } = await startPair();
        const url = `http://127.0.0.1:${mesh.getProxy("owner").relayPort}`;
        for (const token of ["", "forged", "f".repeat(43)]) {
            const headers = { "papayaturn-token": token, "papayaturn-target": "owner", "papayaturn-service": "ledger" };
            expect(await sendRequest(`${url}/status`, { headers })).toMatchObject({ status: 403, outcome: "not-run" });
            const renewal = { method: "POST", headers: { "papayaturn-token": token }, body: "{}" };
            expect(await sendRequest(`${url}/.papayaturn/leases`, renewal)).toMatchObject({ status: 403 });
        }
        expect(backend.received).toHaveLength(0);
    });

    it("does not connect to the host that a request names, such as the control interface", async () => {
        const control = await startBackend((_received, _request, response) => response.end("control"));
        teardowns.add(() => control.stop());
        const { mesh } = await startPair();
        const target = `http://127.0.0.1:${control.port}`;
        const answer = await sendRaw(
            mesh.getProxy("owner").requestPort,
            `GET ${target}/v1/status HTTP/1.1\r\nhost: 127.0.0.1:${control.port}\r\nconnection: close\r\n\r\n`,
        );
        expect(answer).toMatch(/^HTTP\/1.1 404 /);
        expect(control.received).toHaveLength(0);
    });

    it("refuses requests of other daemons as unsettled while it has no configuration in force", async () => {
        const backend = await startBackend((_received, _request, response) => response.end("ok"));
        teardowns.add(() => backend.stop());
        const mesh = await startMesh(buildDocument(), [
            {
                id: "owner",
                serverPort: backend.port,
                options: { readView: () => ({ ...mesh.view, configuration: undefined }) },
            },
            { id: "entry" },
        ]);
        teardowns.add(() => mesh.stop());
        expect(await sendRequest(`${mesh.getUrl("entry")}/status`))
            .toMatchObject({ status: 503, outcome: "not-run", reason: "unsettled" });
        expect(backend.received).toHaveLength(0);
    });

    it("answers a request with bytes beyond ASCII with 200 or 400, never with a server error", async () => {
        const { mesh } = await startPair();
        const port = mesh.getProxy("owner").requestPort;
        for (const path of ["/status/\xff", "/status/\x7f", "/status?q={}|^`"]) {
            const answer = await sendRaw(
                port,
                `GET ${path} HTTP/1.1\r\nhost: a\r\nx-a: \xe9\r\nconnection: close\r\n\r\n`,
            );
            expect(answer).toMatch(/^HTTP\/1.1 (200|400) /);
        }
    });

    it("routes the path of lease renewals like any other path on the port for callers", async () => {
        const { mesh } = await startPair();
        expect(await sendRequest(`${mesh.getUrl("entry")}/.papayaturn/leases`, { method: "POST", body: "{}" }))
            .toMatchObject({ status: 404, reason: "no-route" });
    });
});
