import { setTimeout as wait } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import type { BackendServerOptions } from "../../../../../standins/backend/index.js";
import { acceptText } from "../fixtures/Acceptance.js";
import { buildDocumentText } from "../fixtures/DocumentText.js";
import type { SeenAnswer } from "../fixtures/LoopbackMesh.js";
import { LoopbackMesh } from "../fixtures/LoopbackMesh.js";

const ERIE = "erie-a-1";
const SUPERIOR = "superior-a-1";
const PLACES = [
    { failureDomain: "erie-a", id: ERIE, service: "ledger" },
    { failureDomain: "superior-a", id: SUPERIOR, service: "ledger" },
    { failureDomain: "erie-a", id: "erie-a-2", service: "ledger" },
];

let mesh: LoopbackMesh | undefined;

afterEach(async () => {
    await mesh?.stop();
    mesh = undefined;
});

/** Starts so many daemons with their servers and applies a first version. */
async function startMesh(count: number, server: Partial<BackendServerOptions> = {}): Promise<LoopbackMesh> {
    mesh = await LoopbackMesh.start(PLACES.slice(0, count), server);
    await mesh.awaitLiveServers(count);
    await acceptText(mesh.store.url, buildDocumentText());
    await mesh.awaitVersion(1);
    return mesh;
}

function describeAnswer({ outcome, status }: SeenAnswer): string {
    return `${status} ${outcome ?? "without an outcome"}`;
}

/** Ids of the servers that ran a key, once for each run. */
function listRuns(running: LoopbackMesh, key: string): readonly string[] {
    return [...running.servers].flatMap(([id, server]) => Array.from({ length: server.countRunsOfKey(key) }, () => id));
}

// Guards against a break anywhere between an accepted document and an answer.
test("a document is accepted, held, used, changed, and the daemon stops", async () => {
    const running = await startMesh(2);
    const session: string[] = [];
    const note = async (step: string, answer: Promise<SeenAnswer>): Promise<void> => {
        session.push(`${step}: ${describeAnswer(await answer)}`);
    };
    await note("read through erie", running.sendRequest(ERIE, "/deposits/7"));
    await note("read through superior", running.sendRequest(SUPERIOR, "/deposits/7"));
    await note("unknown path", running.sendRequest(ERIE, "/nothing"));
    await note("deposit", running.sendRequest(SUPERIOR, "/deposits", "k1"));
    await note("same deposit through the other daemon", running.sendRequest(ERIE, "/deposits", "k1"));
    session.push(`runs of k1: ${listRuns(running, "k1").length}`);
    await acceptText(running.store.url, buildDocumentText({ timeout: "3s" }));
    await running.awaitVersion(2);
    const explained = await running.readControl<object>(ERIE, "explain?path=/deposits/7");
    session.push(`explained: ${JSON.stringify({ ...explained, servers: undefined })}`);
    await running.getServer(ERIE).leave();
    await note("read after the server beside erie left", running.sendRequest(ERIE, "/deposits/7"));
    await running.getServer(SUPERIOR).leave();
    await note("read after both servers left", running.sendRequest(ERIE, "/deposits/7"));
    await note("deposit after both servers left", running.sendRequest(ERIE, "/deposits", "k2"));
    await running.getDaemon(SUPERIOR).stop();
    running.daemons.delete(SUPERIOR);
    session.push(`erie after the stop of superior: ${JSON.stringify(await running.readControl(ERIE, "health"))}`);
    await expect(`${session.join("\n")}\n`).toMatchFileSnapshot("golden/whole-path.txt");
});

// Guards against a planned stop that interrupts a request.
test("a planned stop answers what is in flight, at the caller's daemon and at the owner", async () => {
    const running = await startMesh(2, { serviceTimeMs: 1500 });
    const answers = [running.sendRequest(ERIE, "/deposits", "k1"), running.sendRequest(ERIE, "/deposits", "k2")];
    await expect.poll(() => [...listRuns(running, "k1"), ...listRuns(running, "k2")].length).toBe(2);
    await Promise.all([running.getDaemon(ERIE).stop(), running.getDaemon(SUPERIOR).stop()]);
    running.daemons.clear();
    expect((await Promise.all(answers)).map(describeAnswer)).toEqual(["200 answered", "200 answered"]);
});

// Guards against a second execution after the daemon that claimed the key has lost its memory.
test("a key in flight at a daemon that crashes and restarts is not run again", async () => {
    const running = await startMesh(2, { serviceTimeMs: 800 });
    const entry = ERIE;
    const first = running.sendRequest(entry, "/deposits", "k1").then(describeAnswer, () => "closed");
    await expect.poll(() => listRuns(running, "k1")).toHaveLength(1);
    const [owner] = listRuns(running, "k1");
    await running.getDaemon(owner ?? "").closeAbruptly();
    await running.startDaemon(owner ?? "");
    await running.awaitVersion(1);
    await running.awaitLiveServers(2);
    await first;
    const repeated = await running.sendRequest(SUPERIOR, "/deposits", "k1");
    expect(["unknown", "replayed", "already-ran"]).toContain(repeated.outcome);
    expect(listRuns(running, "k1")).toHaveLength(1);
});

// Guards against upgrades that lose requests: each daemon is stopped and started in turn under load.
test("a planned stop of every daemon in turn loses no request", async () => {
    const running = await startMesh(3, { serviceTimeMs: 20 });
    const answers: Promise<string>[] = [];
    for (const { id: stopping } of PLACES) {
        const callers = PLACES.filter(({ id }) => id !== stopping);
        let isStopped = false;
        const stopped = running.getDaemon(stopping).stop().then(() => {
            isStopped = true;
        });
        for (let sent = 0; !isStopped; sent++) {
            const caller = callers[sent % callers.length]?.id ?? "";
            const key = sent % 2 === 0 ? undefined : `key-${stopping}-${sent}`;
            answers.push(running.sendRequest(caller, "/deposits", key).then(describeAnswer, String));
            await wait(20);
        }
        await stopped;
        await running.startDaemon(stopping);
        await running.awaitVersion(1);
        await running.awaitLiveServers(3);
    }
    expect(new Set(await Promise.all(answers))).toEqual(new Set(["200 answered"]));
    expect(answers.length).toBeGreaterThan(100);
});
