import { afterEach, expect, test } from "vitest";
import type { BackendServerOptions } from "../../../../../standins/backend/index.js";
import { describeAnswer, ERIE, listRuns, startConvergedMesh, SUPERIOR } from "../fixtures/ConvergedMesh.js";
import type { LoopbackMesh } from "../fixtures/LoopbackMesh.js";

let mesh: LoopbackMesh | undefined;

afterEach(async () => {
    await mesh?.stop();
    mesh = undefined;
});

async function startTestMesh(count: number, server?: Partial<BackendServerOptions>): Promise<LoopbackMesh> {
    mesh = await startConvergedMesh(count, server);
    return mesh;
}

// Guards against a second execution after the daemon that claimed the key has lost its in-memory state.
test("a key in flight at a daemon that crashes and restarts is run only once", async () => {
    const running = await startTestMesh(2, { serviceTimeMs: 800 });
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
