import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import type { BackendServer, BackendServerOptions } from "../../index.js";
import { BACKEND_SERVER_DEFAULTS, checkAnswer, CONTENT_HASH_HEADER, startBackendServer } from "../../index.js";

const cleanups: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    await Promise.all(cleanups.splice(0).map(clean => clean()));
});

async function startServer(changes: Partial<BackendServerOptions> = {}): Promise<BackendServer & { url: string; }> {
    const server = await startBackendServer({ ...BACKEND_SERVER_DEFAULTS, service: "ledger", ...changes });
    cleanups.push(() => server.kill());
    return Object.assign(server, { url: `http://127.0.0.1:${server.port}` });
}

/** Records the calls that a server makes to its daemon. */
async function startDaemonFake(calls: string[]): Promise<string> {
    const fake = createServer((request, response) => {
        calls.push((request.url ?? "").replace("/v1/", ""));
        response.end("{}");
    });
    await new Promise<void>(resolve => fake.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => new Promise(resolve => fake.close(resolve)));
    return `http://127.0.0.1:${(fake.address() as AddressInfo).port}`;
}

// Guards against a check that accepts a truncated answer or an answer to another request.
test("checkAnswer accepts a complete answer to its request and rejects truncated and foreign ones", async () => {
    const { url } = await startServer();
    const response = await fetch(`${url}/deposits`, { headers: { "x-request-tag": "r1" } });
    const body = Buffer.from(await response.arrayBuffer());
    const hash = response.headers.get(CONTENT_HASH_HEADER) ?? undefined;
    expect(body.length).toBe(BACKEND_SERVER_DEFAULTS.answerBytes);
    expect(checkAnswer(body, hash, "r1")).toBeUndefined();
    expect(checkAnswer(body, hash, "r2")).toBe("the answer belongs to request r1");
    expect(checkAnswer(body.subarray(1), hash, "r1")).toBeDefined();
});

// Guards against a stand-in that hides double execution or overload.
test("repeated executions of a key and requests shed beyond the slots are counted", async () => {
    const server = await startServer({ serviceTimeMs: 50, slots: 2 });
    const statuses = await Promise.all(
        [1, 2, 3].map(async () => (await fetch(server.url, { headers: { "idempotency-key": "k" } })).status),
    );
    expect(statuses.sort()).toEqual([200, 200, 503]);
    expect(server.readStatistics()).toMatchObject({ highestInFlight: 2, keysRunTwice: { k: 2 }, runs: 2, shed: 1 });
});

// Guards against work that continues after the caller has stopped waiting.
test("a passed deadline and a cancellation each end the work", async () => {
    const server = await startServer({ serviceTimeMs: 10_000 });
    const late = await fetch(server.url, { headers: { "papayaturn-deadline-ms": "20" } });
    expect(late.status).toBe(504);
    const controller = new AbortController();
    const call = fetch(server.url, { signal: controller.signal });
    // A call that is cancelled before it has arrived would be no work to end.
    await expect.poll(() => server.readStatistics().inFlight).toBe(1);
    controller.abort();
    await expect(call).rejects.toThrow();
    await expect.poll(() => server.readStatistics()).toMatchObject({ cancelled: 1, deadlineExceeded: 1, inFlight: 0 });
});

// Guards against a drain that aborts a request or is not announced to the daemon.
test("a leaving server completes its running request and announces leaving to its daemon", async () => {
    const calls: string[] = [];
    const daemonUrl = await startDaemonFake(calls);
    const server = await startServer({ daemonUrl, drainMs: 0, serviceTimeMs: 100 });
    const answer = fetch(server.url).then(response => response.text());
    await expect.poll(() => server.readStatistics().inFlight).toBe(1);
    await server.leave();
    expect((await answer).length).toBe(BACKEND_SERVER_DEFAULTS.answerBytes);
    expect(calls).toEqual(["announce", "leaving", "leaving"]);
});

// Guards against fault switches without effect, with which tests of failures would prove nothing.
test("fault switches make a server truncate answers, hang and crash", async () => {
    const server = await startServer();
    server.setFaults({ cutAnswers: true });
    await expect(fetch(server.url).then(response => response.text())).rejects.toThrow();
    server.setFaults({ cutAnswers: false, hang: true });
    await expect(fetch(server.url, { signal: AbortSignal.timeout(100) })).rejects.toThrow("timeout");
    server.setFaults({ crashOnNextRequest: true });
    await expect(fetch(server.url)).rejects.toThrow();
    await expect(fetch(server.url)).rejects.toThrow();
});
