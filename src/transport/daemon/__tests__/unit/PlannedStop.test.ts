import { setTimeout as wait } from "node:timers/promises";
import { afterEach, expect, test } from "vitest";
import type { BackendServerOptions } from "../../../../../standins/backend/index.js";
import { describeAnswer, ERIE, listRuns, PLACEMENTS, startConvergedMesh, SUPERIOR } from "../fixtures/ConvergedMesh.js";
import type { LoopbackMesh } from "../fixtures/LoopbackMesh.js";

/** Minimum number of requests sent around the stop of each daemon. */
const REQUESTS_PER_STOP = 40;

let mesh: LoopbackMesh | undefined;

afterEach(async () => {
    await mesh?.stop();
    mesh = undefined;
});

async function startTestMesh(count: number, server?: Partial<BackendServerOptions>): Promise<LoopbackMesh> {
    mesh = await startConvergedMesh(count, server);
    return mesh;
}

// Guards against a planned stop that interrupts requests in flight.
test("planned stops of the caller's daemon and the owner let requests in flight complete", async () => {
    const running = await startTestMesh(2, { serviceTimeMs: 1500 });
    const answers = [running.sendRequest(ERIE, "/deposits", "k1"), running.sendRequest(ERIE, "/deposits", "k2")];
    await expect.poll(() => [...listRuns(running, "k1"), ...listRuns(running, "k2")].length).toBe(2);
    await Promise.all([running.getDaemon(ERIE).stop(), running.getDaemon(SUPERIOR).stop()]);
    running.daemons.clear();
    expect((await Promise.all(answers)).map(describeAnswer)).toEqual(["200 answered", "200 answered"]);
});

// Guards against rolling upgrades that lose requests: each daemon is stopped and restarted in turn under load.
test("planned stops of all daemons in turn under load lose no request", async () => {
    const running = await startTestMesh(3, { serviceTimeMs: 20 });
    const answers: Promise<string>[] = [];
    for (const { id: stopping } of PLACEMENTS) {
        const callers = PLACEMENTS.filter(({ id }) => id !== stopping);
        let isStopped = false;
        const stopped = running.getDaemon(stopping).stop().then(() => {
            isStopped = true;
        });
        // A minimum count also bounds the load, because the duration of the stop depends on the machine's speed.
        for (let sent = 0; !isStopped || sent < REQUESTS_PER_STOP; sent++) {
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
