import type { Member, MemberState } from "../../src/state/members/index.js";
import type { CountingStore } from "./CountingStore.js";
import type { PolicyName } from "./Policies.js";
import type { Behaviour, MessageFromWorker, MessageToWorker, WorkerSettings } from "./WorkerMessages.js";

import { Worker } from "node:worker_threads";
import { invariant } from "../../src/state/shared/index.js";
import { createCountingStore } from "./CountingStore.js";
import { FAILURE_DOMAINS, SERVICE, SLOTS } from "./MeasuredDocument.js";
import { executeStoreCall } from "./ThreadStore.js";

const SERVERS_PER_DOMAIN = 2;
const STORE_LATENCY_MS = 2;
const LOOPBACK = "127.0.0.1";

/** Number of backend servers of the measured mesh. */
export const SERVERS = FAILURE_DOMAINS.length * SERVERS_PER_DOMAIN;

/** Counted events since the mesh was started, by kind and reason, for example `retried overloaded`. */
export type MeshCounts = ReadonlyMap<string, number>;

interface Daemon {
    readonly settings: WorkerSettings;
    readonly worker: Worker;
    readonly requestPort: number;
}

/** Daemons in one worker thread each, so that a single one can be killed. */
export interface MeasuredMesh {
    /** Request ports of the daemons through which callers enter. */
    listEntryPorts(): readonly number[];
    /** Counts the executions of the request with this number. */
    countExecutions(request: number): number;
    readCounts(): MeshCounts;
    setBehaviour(id: string, behaviour: Behaviour): void;
    /** Refuses new work at the server at once; `setState` tells the other daemons. */
    drain(id: string): void;
    setState(id: string, state: MemberState): void;
    setCutOff(domains: readonly string[]): void;
    /** Kills a daemon and its server without a drain. */
    crash(id: string): Promise<void>;
    crashDomain(domain: string): Promise<void>;
    /** Starts every daemon that is missing or not live, without state, and lists all as live. */
    restore(): Promise<void>;
    stop(): Promise<void>;
}

/** Starts two servers and one entry daemon in each failure domain. */
export async function startMeasuredMesh(policy: PolicyName, seed: number): Promise<MeasuredMesh> {
    const store = createCountingStore(STORE_LATENCY_MS);
    const plan = listWorkerSettings(policy, seed);
    const daemons = new Map<string, Daemon>();
    const executions = new Map<number, number>();
    const counts = new Map<string, number>();
    let members: ReadonlyMap<string, Member> = new Map();
    let cutOffDomains: readonly string[] = [];
    let incarnation = 0;

    function handleMessage(worker: Worker, message: MessageFromWorker): void {
        if (message.kind === "executed") {
            executions.set(message.request, (executions.get(message.request) ?? 0) + 1);
        }
        else if (message.kind === "counted") {
            const name = `${message.event.kind} ${message.event.reason}`;
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
        else if (message.kind === "store-call") {
            void answerStoreCall(store, worker, message);
        }
    }

    async function startDaemon(settings: WorkerSettings): Promise<void> {
        const worker = new Worker(new URL("./DaemonWorker.js", import.meta.url), { workerData: settings });
        const ready = await new Promise<MessageFromWorker & { readonly kind: "ready"; }>((resolve, reject) => {
            worker.once("error", reject);
            worker.on("message", (message: MessageFromWorker) => {
                handleMessage(worker, message);
                if (message.kind === "ready") {
                    resolve(message);
                }
            });
        });
        incarnation += 1;
        daemons.set(settings.id, { settings, worker, requestPort: ready.requestPort });
        const member = createMember(settings, ready.relayPort, ready.serverPort, incarnation);
        members = new Map([...members, [settings.id, member]]);
    }

    function publishView(): void {
        const message: MessageToWorker = { kind: "view", members: [...members.values()], cutOffDomains };
        daemons.forEach(({ worker }) => worker.postMessage(message));
    }

    function sendTo(id: string, message: MessageToWorker): void {
        const daemon = daemons.get(id);
        invariant(daemon, `daemon ${id} runs`);
        daemon.worker.postMessage(message);
    }

    async function killDaemon(id: string): Promise<void> {
        const daemon = daemons.get(id);
        daemons.delete(id);
        await daemon?.worker.terminate();
    }

    function setState(id: string, state: MemberState): void {
        const member = members.get(id);
        invariant(member, `member ${id} is known`);
        members = new Map([...members, [id, { ...member, state, revision: member.revision + 1 }]]);
        publishView();
    }

    async function restore(): Promise<void> {
        cutOffDomains = [];
        const notLive = [...members.values()].filter(member => member.state !== "live").map(member => member.id);
        await Promise.all(notLive.map(killDaemon));
        const missing = plan.filter(settings => !daemons.has(settings.id));
        await Promise.all(missing.map(startDaemon));
        publishView();
    }

    await restore();
    return {
        listEntryPorts: () =>
            [...daemons.values()].filter(({ settings }) => !settings.hasServer).map(daemon => daemon.requestPort),
        countExecutions: request => executions.get(request) ?? 0,
        readCounts: () => new Map(counts),
        setBehaviour: (id, behaviour) => sendTo(id, { kind: "behaviour", behaviour }),
        drain: id => sendTo(id, { kind: "drain" }),
        setState,
        setCutOff: domains => {
            cutOffDomains = domains;
            publishView();
        },
        crash: killDaemon,
        crashDomain: async domain => {
            const ids = plan.filter(settings => settings.failureDomain === domain).map(settings => settings.id);
            await Promise.all(ids.map(killDaemon));
        },
        restore,
        stop: async () => {
            await Promise.all([...daemons.keys()].map(killDaemon));
        },
    };
}

async function answerStoreCall(
    store: CountingStore,
    worker: Worker,
    { call, request }: MessageFromWorker & { readonly kind: "store-call"; },
): Promise<void> {
    const reply: MessageToWorker = { kind: "store-reply", call, reply: await executeStoreCall(store, request) };
    worker.postMessage(reply);
}

function listWorkerSettings(policy: PolicyName, seed: number): readonly WorkerSettings[] {
    return FAILURE_DOMAINS.flatMap((failureDomain, domainIndex) =>
        Array.from({ length: SERVERS_PER_DOMAIN + 1 }, (_, index) => ({
            id: index === SERVERS_PER_DOMAIN ? `${failureDomain}-entry` : `${failureDomain}-${index + 1}`,
            failureDomain,
            hasServer: index < SERVERS_PER_DOMAIN,
            policy,
            seed: seed + 10 * domainIndex + index,
        }))
    );
}

function createMember(
    { id, failureDomain }: WorkerSettings,
    relayPort: number,
    serverPort: number | undefined,
    incarnation: number,
): Member {
    return {
        id,
        address: LOOPBACK,
        peerPort: relayPort,
        relayPort,
        failureDomain,
        region: "erie",
        incarnation,
        revision: 1,
        state: "live",
        ...(serverPort !== undefined && {
            server: { service: SERVICE, address: LOOPBACK, port: serverPort, slots: SLOTS, connections: 40 },
        }),
    };
}
