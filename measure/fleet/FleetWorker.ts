/** Process that hosts the daemons of one failure domain; forked by `Fleet`. */
import { MemberState } from "../../src/state/members/index.js";
import { createSeededRandom } from "../../src/state/shared/index.js";
import { startMeshNode } from "../../src/transport/mesh/index.js";
import type { ControlCounters, MeshNode } from "../../src/transport/mesh/index.js";
import { createStoreClient } from "../../src/transport/store/index.js";
import type { StoreClient } from "../../src/transport/store/index.js";
import { BaselineDaemon } from "./BaselineDaemon.js";
import type { FleetCommand, FleetEvent, FleetReport, HostedDaemon } from "./FleetMessages.js";
import { readPreciseTime } from "./FleetMessages.js";
import { createDelayedStore, createDelayLink } from "./LinkModel.js";
import type { SharedLink } from "./LinkModel.js";
import { MESH_KEY, STORE_REGION } from "./MeasuredDocument.js";

type StartCommand = Extract<FleetCommand, { readonly kind: "start"; }>;

const STORE_TIMEOUT_MS = 5_000;
const SILENT_LOG = { debug: () => undefined, info: () => undefined, warn: () => undefined };

const link: SharedLink = { busyUntil: 0 };
const nodes = new Map<string, MeshNode>();
const baselines: BaselineDaemon[] = [];
const callsBySecond = new Map<number, number>();
let client: StoreClient | undefined;
let storeCalls = 0;
/** Last counters of killed daemons, so that the totals never decrease. */
const killedCounters: ControlCounters[] = [];

function sendEvent(event: FleetEvent): void {
    process.send?.(event);
}

function countStoreCall(): void {
    const second = Math.floor(readPreciseTime() / 1_000);
    storeCalls++;
    callsBySecond.set(second, (callsBySecond.get(second) ?? 0) + 1);
}

async function startDaemons(command: StartCommand): Promise<void> {
    client ??= createStoreClient({ connections: 4_096, timeoutMs: STORE_TIMEOUT_MS, url: command.storeUrl });
    const store = createDelayedStore(client, command.region !== STORE_REGION, link, countStoreCall);
    if (command.mode === "baseline") {
        for (const { id } of command.daemons) {
            const daemon = new BaselineDaemon(store, MESH_KEY, version => {
                sendEvent({ at: readPreciseTime(), id, kind: "in-force", version });
            });
            baselines.push(daemon);
            void daemon.run();
        }
        sendEvent({ kind: "started", peerPorts: [] });
        return;
    }
    const started = await Promise.all(
        command.daemons.map((daemon, index) => startDaemon(command, daemon, index, store)),
    );
    sendEvent({ kind: "started", peerPorts: started.map(node => node.peerPort) });
}

async function startDaemon(
    command: StartCommand,
    daemon: HostedDaemon,
    index: number,
    store: StoreClient | ReturnType<typeof createDelayedStore>,
): Promise<MeshNode> {
    const node = await startMeshNode({
        address: "127.0.0.1",
        delayLink: createDelayLink(link),
        failureDomain: command.failureDomain,
        id: daemon.id,
        log: SILENT_LOG,
        meshKey: MESH_KEY,
        now: Date.now,
        peerPort: 0,
        random: createSeededRandom(command.seed * 10_000 + index),
        region: command.region,
        relayPort: 1,
        seeds: command.seeds,
        store,
    });
    nodes.set(daemon.id, node);
    let version = 0;
    node.subscribeView(view => {
        const current = view.configuration?.version ?? 0;
        if (current > version) {
            version = current;
            sendEvent({ at: readPreciseTime(), id: daemon.id, kind: "in-force", version });
        }
    });
    const server = { address: "127.0.0.1", connections: 120, port: 8_080, service: daemon.service, slots: 12 };
    node.announceServer(server, MemberState.Live);
    return node;
}

async function killDaemons(): Promise<void> {
    killedCounters.push(...[...nodes.values()].map(node => node.readCounters()));
    await Promise.all([...nodes.values()].map(node => node.closeAbruptly()));
    nodes.clear();
    baselines.splice(0).forEach(daemon => daemon.stop());
    sendEvent({ kind: "crashed" });
}

function buildReport(): FleetReport {
    globalThis.gc?.();
    const versions: Record<number, number> = {};
    const versionsInForce = [
        ...[...nodes.values()].map(node => node.readView().configuration?.version ?? 0),
        ...baselines.map(daemon => daemon.version),
    ];
    versionsInForce.forEach(version => {
        versions[version] = (versions[version] ?? 0) + 1;
    });
    const counters = [...killedCounters, ...[...nodes.values()].map(node => node.readCounters())];
    const { system, user } = process.cpuUsage();
    const { heapUsed, rss } = process.memoryUsage();
    const transferred = client?.readTransferredBytes();
    const peakStoreCalls = Math.max(0, ...callsBySecond.values());
    callsBySecond.clear();
    return {
        cpuMicroseconds: system + user,
        daemons: versionsInForce.length,
        heapBytes: heapUsed,
        kind: "report",
        peakStoreCalls,
        rssBytes: rss,
        sentBytes: counters.reduce((sum, each) => sum + each.sentBytes, 0),
        sentBytesAcrossRegions: counters.reduce((sum, each) => sum + each.sentBytesAcrossRegions, 0),
        storeBytes: transferred === undefined ? 0 : transferred.sentBytes + transferred.receivedBytes,
        storeCalls,
        versions,
    };
}

async function handleCommand(command: FleetCommand): Promise<void> {
    switch (command.kind) {
        case "start":
            return startDaemons(command);
        case "crash":
            return killDaemons();
        case "report":
            return sendEvent(buildReport());
    }
}

process.on("message", (command: FleetCommand) => void handleCommand(command));
// The measurement has exited without stopping this process.
process.on("disconnect", () => process.exit(0));
sendEvent({ kind: "ready" });
