/** Worker thread of one measured daemon: the production request proxy with its claims, and a backend server. */
import type { Member } from "../../src/state/members/index.js";
import type { MeshView } from "../../src/state/view/index.js";
import type { MeasuredBackend } from "./MeasuredBackend.js";
import type { Policy } from "./Policies.js";
import type { MessageFromWorker, MessageToWorker, WorkerSettings } from "./WorkerMessages.js";

import { parentPort, workerData } from "node:worker_threads";
import { createClaimManager } from "../../src/coordination/claims/index.js";
import { createSeededRandom, invariant } from "../../src/state/shared/index.js";
import { startRequestProxy } from "../../src/transport/proxy/index.js";
import { sleep } from "./CountingStore.js";
import { startMeasuredBackend } from "./MeasuredBackend.js";
import { createMeasuredDocument, SERVICE } from "./MeasuredDocument.js";
import { POLICIES } from "./Policies.js";
import { createThreadStore } from "./ThreadStore.js";

const settings = workerData as WorkerSettings;
const policy: Policy = POLICIES[settings.policy];
const document = createMeasuredDocument(policy.document);
const now = (): number => performance.now();

let view = createView([], []);

function createView(members: readonly Member[], cutOffDomains: readonly string[]): MeshView {
    const serving = members.filter(member =>
        member.server !== undefined && member.state !== "dead" && member.state !== "left"
    );
    return {
        configuration: { version: 1, root: "root", document },
        members: new Map(members.map(member => [member.id, member])),
        membersByService: new Map([[SERVICE, serving]]),
        cutOffDomains: new Set(cutOffDomains),
    };
}

function send(message: MessageFromWorker): void {
    invariant(parentPort, "the module runs in a worker thread");
    parentPort.postMessage(message);
}

const store = createThreadStore((call, request) => send({ kind: "store-call", call, request }));

const backend: MeasuredBackend | undefined = settings.hasServer
    ? await startMeasuredBackend(request => send({ kind: "executed", request }))
    : undefined;

const proxy = await startRequestProxy({
    address: "127.0.0.1",
    requestPort: 0,
    relayPort: 0,
    selfId: settings.id,
    failureDomain: settings.failureDomain,
    region: "erie",
    readView: () => view,
    claims: createClaimManager({
        store,
        executor: settings.id,
        readSettings: () => document.mesh.claims,
        now,
        uptime: now,
        wait: sleep,
        random: createSeededRandom(settings.seed),
    }),
    recorder: { record: () => undefined, count: event => send({ kind: "counted", event }) },
    meshKey: "measured-mesh-key",
    now,
    random: createSeededRandom(settings.seed + 1),
    log: () => undefined,
    ...policy.createOptions(() => view),
});

parentPort?.on("message", (message: MessageToWorker) => {
    switch (message.kind) {
        case "view":
            view = createView(message.members, message.cutOffDomains);
            break;
        case "behaviour":
            backend?.setBehaviour(message.behaviour);
            break;
        case "drain":
            proxy.setServerState("leaving");
            break;
        case "store-reply":
            store.receiveReply(message.call, message.reply);
            break;
    }
});

send({ kind: "ready", requestPort: proxy.requestPort, relayPort: proxy.relayPort, serverPort: backend?.port });
