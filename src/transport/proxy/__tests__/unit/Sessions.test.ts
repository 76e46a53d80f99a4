import { afterEach, describe, expect, it } from "vitest";
import { startBackend } from "../fixtures/BackendServer.js";
import type { BackendServer } from "../fixtures/BackendServer.js";
import { createTeardowns, sendRequest, waitUntil } from "../fixtures/Caller.js";
import type { CallerRequest } from "../fixtures/Caller.js";
import { buildDocument, startMesh } from "../fixtures/Mesh.js";
import type { DaemonSpec, TestMesh } from "../fixtures/Mesh.js";

const teardowns = createTeardowns();
afterEach(() => teardowns.run());

/** Starts servers that hold each request until the scenario answers it, so that the order of events is fixed. */
async function startScenario(serverIds: readonly string[], slots: number, queueLength: number) {
    const lines: string[] = [];
    const held = new Map<string, { answer(text: string): void; crash(): void; }>();
    const servers = new Map<string, BackendServer>();
    const specs: DaemonSpec[] = [{ id: "entry", options: { isLeasing: false } }];
    for (const id of serverIds) {
        const server = await startBackend((received, request, response) => {
            lines.push(`server ${id}: ${received.method} ${received.url} ${received.body}`.trimEnd());
            held.set(received.url, {
                answer: text => response.end(text),
                crash: () => request.socket.resetAndDestroy(),
            });
        });
        servers.set(id, server);
        teardowns.add(() => server.stop());
        specs.push({ id, serverPort: server.port, slots });
    }
    const document = buildDocument({ queue: { length: queueLength, deadlineMs: 5_000 } }, { timeoutMs: 5_000 });
    const mesh = await startMesh(document, specs);
    teardowns.add(() => mesh.stop());
    const send = async (path: string, options?: CallerRequest): Promise<void> => {
        lines.push(`caller: ${options?.method ?? "GET"} ${path}`);
        const got = await sendRequest(`${mesh.getUrl("entry")}${path}`, options);
        const retryAfter = got.headers["retry-after"] === undefined
            ? ""
            : `, retry after ${got.headers["retry-after"]} s`;
        const reason = got.reason === "" ? "" : ` (${got.reason})`;
        const end = got.isWhole ? "" : " CUT";
        lines.push(
            `caller: ${path} got ${got.status} ${got.outcome}${reason}${retryAfter}${end}: ${got.text.trimEnd()}`,
        );
        const record = mesh.records.at(-1);
        lines.push(
            `record: ${path} ${record?.hop ?? "no hop"} ${record?.server ?? "no server"}, attempts ${
                record?.attempts ?? 0
            }`,
        );
    };
    let stepStart = 0;
    /** Ends a step; its events are sorted, since those of different processes have no fixed order within a step. */
    const endStep = (title: string): void => {
        lines.push(...lines.splice(stepStart).sort(), `-- ${title}`);
        stepStart = lines.length;
    };
    const awaitHeld = async (path: string) => {
        await waitUntil(() => held.has(path));
        const request = held.get(path);
        held.delete(path);
        return request;
    };
    return { lines, mesh, servers, send, awaitHeld, endStep };
}

function renderScenario(lines: readonly string[], mesh: TestMesh): string {
    return [...lines, "", "claims:", ...mesh.claims.calls.map(line => `  ${line}`), ""].join("\n");
}

// Guards against changes of the answers, outcomes and claims that callers see over a whole course of events.
describe("scenarios", () => {
    it("runs each deposit at most once through a crash and a stop of its server", async () => {
        const { lines, mesh, servers, send, awaitHeld } = await startScenario(["erie-1", "erie-2"], 4, 4);
        const buildDeposit = (key: string) => ({ method: "POST", headers: { "idempotency-key": key }, body: "40" });
        const first = send("/deposits/tent", buildDeposit("tent"));
        (await awaitHeld("/deposits/tent"))?.answer("paid 40");
        await first;
        await send("/deposits/tent", buildDeposit("tent"));
        lines.push("-- a server crashes while it runs the deposit");
        const second = send("/deposits/tarp", buildDeposit("tarp"));
        (await awaitHeld("/deposits/tarp"))?.crash();
        await second;
        await send("/deposits/tarp", buildDeposit("tarp"));
        const order =
            mesh.getProxy("entry").explain({ method: "POST", path: "/deposits/awning", key: "awning" }).keyOrder;
        await servers.get(order[0] ?? "")?.stop();
        lines.push("-- a server stops listening");
        const third = send("/deposits/awning", buildDeposit("awning"));
        (await awaitHeld("/deposits/awning"))?.answer("paid 40");
        await third;
        await send("/deposits/awning", buildDeposit("awning"));
        await expect(renderScenario(lines, mesh)).toMatchFileSnapshot("__golden__/deposit-through-a-crash.txt");
    });

    it("sends new requests elsewhere and answers those in flight while a server drains under load", async () => {
        const { lines, mesh, send, awaitHeld, endStep } = await startScenario(["erie-1", "erie-2"], 4, 4);
        mesh.setState("erie-2", "starting");
        const running: { readonly path: string; readonly sent: Promise<void>; }[] = [];
        const held = [];
        for (const path of ["/status/1", "/status/2"]) {
            running.push({ path, sent: send(path) });
            held.push(await awaitHeld(path));
        }
        mesh.setState("erie-2", "live");
        endStep("erie-1 leaves with 2 requests in flight");
        mesh.getProxy("erie-1").setServerState("leaving");
        for (const path of ["/status/3", "/status/4", "/status/5", "/status/6"]) {
            const sent = send(path);
            (await awaitHeld(path))?.answer("mended");
            await sent;
        }
        endStep("erie-1 stops when its work has ended");
        const stopped = mesh.getProxy("erie-1").stop();
        for (const request of held) {
            request?.answer("mended");
        }
        await Promise.all([stopped, ...running.map(({ sent }) => sent)]);
        endStep("erie-1 has stopped");
        const stable = lines.filter(line => !line.startsWith("record:"));
        await expect(renderScenario(stable, mesh)).toMatchFileSnapshot("__golden__/drain-under-load.txt");
    });

    it("refuses requests beyond slots and queue, and serves again after the overload", async () => {
        const { lines, mesh, send, awaitHeld, endStep } = await startScenario(["erie-1"], 2, 2);
        const load = () => mesh.getProxy("erie-1").readLoad();
        const sent: Promise<void>[] = [];
        for (let number = 1; number <= 4; number++) {
            sent.push(send(`/status/${number}`));
            await waitUntil(() => load().used + load().queued === number);
        }
        const held = [await awaitHeld("/status/1"), await awaitHeld("/status/2")];
        endStep(`${load().used} slots used, ${load().queued} queued`);
        await send("/status/5");
        await send("/status/6");
        endStep("the overload passes");
        for (const request of held) {
            request?.answer("mended");
        }
        for (const path of ["/status/3", "/status/4"]) {
            (await awaitHeld(path))?.answer("mended");
        }
        await Promise.all(sent);
        endStep(`${load().used} slots used, ${load().queued} queued`);
        const last = send("/status/7");
        (await awaitHeld("/status/7"))?.answer("mended");
        await last;
        endStep("end");
        const stable = lines.filter(line => !line.startsWith("record:"));
        await expect(renderScenario(stable, mesh)).toMatchFileSnapshot("__golden__/overload-and-recovery.txt");
    });
});
