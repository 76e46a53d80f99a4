import { createServer } from "node:net";
import type { AddressInfo, Server } from "node:net";
import { afterEach, expect, test } from "vitest";
import type { StoreServer, StoreServerOptions } from "../../../../../standins/store/index.js";
import { startStoreServer } from "../../../../../standins/store/index.js";
import { MAXIMUM_VALUE_BYTES } from "../../../../state/store/index.js";
import type { StoreClient } from "../../index.js";
import { createStoreClient } from "../../index.js";

const closers: (() => Promise<unknown>)[] = [];

afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

function connectClient(url: string, timeoutMs = 5_000): StoreClient {
    const client = createStoreClient({ timeoutMs, url });
    closers.push(() => client.close());
    return client;
}

async function startStore(options: Partial<StoreServerOptions> = {}): Promise<StoreServer> {
    const server = await startStoreServer({ port: 0, ...options });
    closers.push(() => server.close());
    return server;
}

/** Starts a server that answers each connection with fixed bytes and closes it. */
async function startRawServer(answer: string): Promise<string> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => socket.end(answer));
    });
    await new Promise<void>(resolve => void server.listen(0, "127.0.0.1", resolve));
    closers.push(() => stopServer(server));
    return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function stopServer(server: Server): Promise<void> {
    await new Promise(resolve => void server.close(resolve));
}

// Guards against two writers that both conclude that their write took effect.
test("a write whose condition fails is refused, and each write increases the version", async () => {
    const store = connectClient((await startStore()).url);
    const first = await store.put("config/head", "ä", { kind: "absent" });
    const version = first.unsafeCoerce();
    expect((await store.get("config/head")).extract()).toEqual({ key: "config/head", value: "ä", version });
    const refused = { kind: "refused", reason: "condition" };
    expect((await store.put("config/head", "x", { kind: "absent" })).extract()).toMatchObject(refused);
    expect((await store.put("config/head", "x", { kind: "version", version: version + 9 })).extract())
        .toMatchObject(refused);
    const second = (await store.put("config/head", "b", { kind: "version", version })).unsafeCoerce();
    expect(second).toBeGreaterThan(version);
    expect((await store.delete("config/head", version)).extract()).toMatchObject(refused);
    expect((await store.delete("config/head", second)).isRight()).toBe(true);
    expect((await store.delete("config/head", second)).isRight()).toBe(true);
    expect((await store.put("config/head", "c", { kind: "absent" })).unsafeCoerce()).toBeGreaterThan(second);
});

test("a watch returns the first newer version, or nothing after its wait", async () => {
    const store = connectClient((await startStore()).url);
    const version = (await store.put("config/head", "a", { kind: "absent" })).unsafeCoerce();
    expect((await store.watch("config/head", 0, 10_000)).extract()).toMatchObject({ value: "a" });
    const waiting = store.watch("config/head", version, 10_000);
    await store.put("config/head", "b", { kind: "version", version });
    expect((await waiting).extract()).toMatchObject({ value: "b" });
    expect((await store.watch("config/head", version + 1, 1)).extract()).toBeUndefined();
});

test("a listing returns all keys of a prefix from several pages", async () => {
    const store = connectClient((await startStore({ writesPerSecond: 5_000 })).url);
    const keys = Array.from({ length: 2_100 }, (_, index) => `claims/${String(index).padStart(5, "0")}`);
    await Promise.all([...keys, "config/head"].map(key => store.put(key, "", { kind: "absent" })));
    expect((await store.list("claims/")).unsafeCoerce().map(object => object.key)).toEqual(keys);
});

test("a value of the maximum size is accepted, and a larger one is refused as too-large", async () => {
    const store = connectClient((await startStore()).url);
    expect((await store.put("a", "x".repeat(MAXIMUM_VALUE_BYTES), { kind: "absent" })).isRight()).toBe(true);
    expect((await store.put("b", "x".repeat(MAXIMUM_VALUE_BYTES + 1), { kind: "absent" })).extract())
        .toMatchObject({ kind: "refused", reason: "too-large" });
});

// Guards against a write that is considered not to have happened because its answer was lost.
test("a write whose answer is lost has an unknown outcome, and a write during an outage has no effect", async () => {
    const server = await startStore();
    const store = connectClient(server.url);
    server.setFaults({ lostAnswers: 1 });
    expect((await store.put("a", "1", { kind: "absent" })).extract()).toMatchObject({ kind: "unknown" });
    expect((await store.get("a")).extract()).toMatchObject({ value: "1" });
    server.setFaults({ outage: true });
    expect((await store.put("b", "1", { kind: "absent" })).isLeft()).toBe(true);
    server.setFaults({ outage: false });
    expect((await store.get("b")).extract()).toBeUndefined();
    expect(server.readCounters()).toMatchObject({ dropped: 1, lostAnswers: 1 });
});

test("a request to a slow store has an unknown outcome, and one to a missing store is unreachable", async () => {
    const server = await startStore({ faults: { delayMs: 60_000 } });
    expect((await connectClient(server.url, 100).get("a")).extract()).toMatchObject({ kind: "unknown" });
    const missing = connectClient("http://127.0.0.1:1");
    expect((await missing.put("a", "1", { kind: "absent" })).extract()).toMatchObject({ kind: "unreachable" });
});

test("requests above the rate limit of the store are refused with the reason rate", async () => {
    const store = connectClient((await startStore({ readsPerSecond: 1 })).url);
    const results = await Promise.all(Array.from({ length: 20 }, () => store.get("a")));
    expect(results.filter(result => result.isLeft()).map(result => result.extract()))
        .toContainEqual(expect.objectContaining({ kind: "refused", reason: "rate" }));
});

// Guards against a partial or malformed answer that is taken for a complete value.
test.each([
    ["a truncated body", "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 100\r\n\r\nhalf"],
    ["an answer without version", "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na"],
    ["an unexpected status", "HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n"],
    ["an answer that is not HTTP", "hello\r\n\r\n"],
    ["a connection closed without an answer", ""],
])("%s gives an unknown outcome", async (_case, answer) => {
    const store = connectClient(await startRawServer(answer));
    expect((await store.get("a")).extract()).toMatchObject({ kind: "unknown" });
});

test("the client and the server count the same bytes of requests and answers", async () => {
    const server = await startStore();
    const store = connectClient(server.url);
    await store.put("a", "x".repeat(10_000), { kind: "absent" });
    const { receivedBytes, sentBytes } = store.readTransferredBytes();
    expect(sentBytes).toBeGreaterThan(10_000);
    expect(receivedBytes).toBeGreaterThan(100);
    expect(server.readCounters()).toMatchObject({ receivedBytes: sentBytes, sentBytes: receivedBytes });
});

test("the fault switches and counters of the store stand-in are available over HTTP", async () => {
    const { url } = await startStore();
    const put = (body: object) =>
        fetch(`${url}/faults`, {
            body: JSON.stringify(body),
            headers: { "content-type": "application/json" },
            method: "PUT",
        });
    expect(await (await put({ delayMs: 5 })).json()).toMatchObject({ delayMs: 5, outage: false });
    expect((await put({ outage: "yes" })).status).toBe(400);
    expect(await (await fetch(`${url}/counters`)).json()).toMatchObject({ writes: 0 });
});
