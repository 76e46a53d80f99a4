import { afterEach, expect, test } from "vitest";
import type { BackendServerOptions } from "../../../../../standins/backend/index.js";
import { applyDocumentText } from "../fixtures/Acceptance.js";
import { describeAnswer, ERIE, listRuns, startConvergedMesh, SUPERIOR } from "../fixtures/ConvergedMesh.js";
import { buildDocumentText } from "../fixtures/DocumentText.js";
import type { LoopbackMesh, ReceivedAnswer } from "../fixtures/LoopbackMesh.js";

let mesh: LoopbackMesh | undefined;

afterEach(async () => {
    await mesh?.stop();
    mesh = undefined;
});

async function startTestMesh(count: number, server?: Partial<BackendServerOptions>): Promise<LoopbackMesh> {
    mesh = await startConvergedMesh(count, server);
    return mesh;
}

// Guards against faults anywhere between an accepted document and the answer to a request.
test("requests are answered as documented while a version changes, servers leave and a daemon stops", async () => {
    const running = await startTestMesh(2);
    const session: string[] = [];
    const note = async (step: string, answer: Promise<ReceivedAnswer>): Promise<void> => {
        session.push(`${step}: ${describeAnswer(await answer)}`);
    };
    await note("read through erie", running.sendRequest(ERIE, "/deposits/7"));
    await note("read through superior", running.sendRequest(SUPERIOR, "/deposits/7"));
    await note("unknown path", running.sendRequest(ERIE, "/nothing"));
    await note("deposit", running.sendRequest(SUPERIOR, "/deposits", "k1"));
    await note("same deposit through the other daemon", running.sendRequest(ERIE, "/deposits", "k1"));
    session.push(`runs of k1: ${listRuns(running, "k1").length}`);
    await applyDocumentText(running.store.url, buildDocumentText({ timeout: "3s" }));
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
