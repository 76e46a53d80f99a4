/** The steps of the demo: applies the document, then makes two changes, two planned stops and a crash under load. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import type { ApplyOutcome, VersionSummary } from "../src/coordination/acceptance/index.js";
import { createSeededRandom } from "../src/state/shared/index.js";
import type { RunningProcess } from "./ChildProcesses.js";
import type { DaemonClient } from "./DaemonClient.js";
import { DEMO_CHANGES } from "./DemoChanges.js";
import type { DemoLayout, DemoNode } from "./DemoLayout.js";
import type { DemoMesh } from "./DemoMesh.js";
import type { Observations, ObservedDrain } from "./GuaranteeChecks.js";
import type { LoadGenerator } from "./LoadGenerator.js";
import { startLoadGenerator } from "./LoadGenerator.js";
import { RequestGenerator } from "./RequestGenerator.js";
import { VersionPoller } from "./VersionPoller.js";

const READY_TIMEOUT_MS = 30_000;
const CONVERGENCE_TIMEOUT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const REQUESTS_PER_SECOND = 150;
/** Time under load before and after each step. */
const STEP_PAUSE_MS = 1500;
/** Exceeds the time after which a crashed server is announced as dead. */
const CRASH_DOWNTIME_MS = 4500;

/** Writes one line of progress. */
export type PrintProgress = (line: string) => void;

export interface ScenarioOptions {
    readonly mesh: DemoMesh;
    readonly layout: DemoLayout;
    readonly client: DaemonClient;
    /** Text of the example document. */
    readonly text: string;
    readonly seed: number;
    readonly print: PrintProgress;
}

export interface ScenarioResult {
    readonly observations: Observations;
    /** Convergence time of each accepted version; undefined when some daemon never had it in force. */
    readonly convergenceMs: readonly (number | undefined)[];
    readonly controlBytes: { readonly total: number; readonly crossRegion: number; };
}

export class DemoScenario {
    readonly #versionPoller: VersionPoller;
    readonly #convergenceMs: (number | undefined)[] = [];
    #text: string;
    #lastAccepted = 0;

    constructor(private readonly options: ScenarioOptions) {
        this.#versionPoller = new VersionPoller(options.client, options.mesh.nodes);
        this.#text = options.text;
    }

    async run(): Promise<ScenarioResult> {
        const { layout, mesh, print, seed } = this.options;
        print(`Starting a store, ${mesh.nodes.length} daemons and ${mesh.nodes.length} backend servers.`);
        mesh.startAll();
        await this.#awaitAnnouncements();
        this.#versionPoller.start();
        await this.#apply("example document", this.#text);
        const load = startLoadGenerator(
            new RequestGenerator(layout.document, createSeededRandom(seed)),
            mesh.nodes.map(node => node.requestPort),
            REQUESTS_PER_SECOND,
        );
        const drains = await this.#runSteps(load);
        await this.#versionPoller.stop();
        return {
            controlBytes: this.#sumControlBytes(),
            convergenceMs: this.#convergenceMs,
            observations: await this.#collectObservations(await load.finish(), drains),
        };
    }

    async #runSteps(load: LoadGenerator): Promise<readonly ObservedDrain[]> {
        const { mesh, print } = this.options;
        await wait(STEP_PAUSE_MS);
        for (const change of DEMO_CHANGES) {
            await this.#apply(change.description, change.apply(this.#text));
            await wait(STEP_PAUSE_MS);
        }
        const [drained, stopped, crashed] = mesh.nodes;
        if (drained === undefined || stopped === undefined || crashed === undefined) {
            throw new RangeError(`The scenario needs 3 servers, but the document plans ${mesh.nodes.length}.`);
        }
        const drains = [await this.#drainServer(drained), await this.#restartDaemon(stopped, load)];
        await wait(STEP_PAUSE_MS);
        print(`The server beside ${crashed.id} crashes.`);
        mesh.getServer(crashed.id).signal("SIGKILL");
        await wait(CRASH_DOWNTIME_MS);
        mesh.startServer(crashed);
        await wait(STEP_PAUSE_MS);
        return drains;
    }

    async #apply(description: string, text: string): Promise<void> {
        const { mesh, print } = this.options;
        const { time, version } = await this.#runApply(description, text);
        this.#text = text;
        this.#lastAccepted = version;
        const reached = await this.#versionPoller.awaitVersion(version, Date.now() + CONVERGENCE_TIMEOUT_MS);
        const tookMs = reached === undefined ? undefined : reached - time;
        this.#convergenceMs.push(tookMs);
        const detail = tookMs === undefined
            ? "is not in force everywhere"
            : `is in force everywhere after ${tookMs} ms`;
        print(`Version ${version} (${description}) ${detail}.`);
        for (const ended of mesh.listExitedDaemons()) {
            print(ended);
        }
    }

    async #runApply(description: string, text: string): Promise<VersionSummary> {
        const folder = await mkdtemp(join(tmpdir(), "papayaturn-demo-"));
        try {
            const file = join(folder, "document.yaml");
            await writeFile(file, text);
            const output = await this.options.mesh.runCommand(["apply", "--message", description, "--json", file]);
            const outcome = JSON.parse(output) as ApplyOutcome;
            if (outcome.kind !== "accepted") {
                throw new Error(`The ${description} was not accepted: ${output}`);
            }
            return outcome.version;
        }
        finally {
            await rm(folder, { force: true, recursive: true });
        }
    }

    async #drainServer(node: DemoNode): Promise<ObservedDrain> {
        const { mesh, print } = this.options;
        print(`The server beside ${node.id} is restarted with a drain.`);
        const drain = await recordStop(mesh.getServer(node.id), node);
        mesh.startServer(node);
        await wait(STEP_PAUSE_MS);
        return drain;
    }

    async #restartDaemon(node: DemoNode, load: LoadGenerator): Promise<ObservedDrain> {
        const { client, mesh, print } = this.options;
        print(`Daemon ${node.id} is restarted with a planned stop.`);
        load.pause(node.requestPort);
        const drain = await recordStop(mesh.getDaemon(node.id), node);
        mesh.startDaemon(node);
        const deadline = Date.now() + READY_TIMEOUT_MS;
        while (!await client.isReady(node) && Date.now() < deadline) {
            await wait(POLL_INTERVAL_MS);
        }
        load.resume(node.requestPort);
        return drain;
    }

    /** Waits until every daemon lists every server as live. */
    async #awaitAnnouncements(): Promise<void> {
        const { client, mesh } = this.options;
        const deadline = Date.now() + READY_TIMEOUT_MS;
        for (const node of mesh.nodes) {
            while (!await hasAllMembersLive(client, node, mesh.nodes.length)) {
                if (Date.now() > deadline || mesh.listExitedDaemons().length > 0) {
                    const ended = mesh.listExitedDaemons().join("\n");
                    throw new Error(
                        `${node.id} does not list all ${mesh.nodes.length} servers as live `
                            + `(limit ${READY_TIMEOUT_MS} ms).\n${ended}`,
                    );
                }
                await wait(POLL_INTERVAL_MS);
            }
        }
    }

    async #collectObservations(
        results: Observations["results"],
        drains: readonly ObservedDrain[],
    ): Promise<Observations> {
        const { client, layout, mesh } = this.options;
        const dangling = await Promise.all(
            mesh.nodes.map(node => client.listDanglingRoutes(node, layout.document)),
        );
        return {
            daemons: mesh.nodes.map(({ id }) => id),
            danglingRoutes: dangling.flat(),
            drains,
            lastAccepted: this.#lastAccepted,
            results,
            executions: mesh.executions,
            versions: this.#versionPoller.observed,
        };
    }

    /** Sums the traffic between daemons, and between daemons and the store, which is in one of the regions. */
    #sumControlBytes(): ScenarioResult["controlBytes"] {
        const { layout, mesh } = this.options;
        const regions = new Map(mesh.nodes.map(({ id, region }) => [id, region]));
        const sum = { crossRegion: 0, total: 0 };
        for (const { counters, id, storeBytes } of this.#versionPoller.listLastStatuses()) {
            const bytes = storeBytes.receivedBytes + storeBytes.sentBytes;
            sum.total += counters.sentBytes + bytes;
            sum.crossRegion += counters.sentBytesAcrossRegions
                + (regions.get(id) === layout.document.mesh.storeRegion ? 0 : bytes);
        }
        return sum;
    }
}

/** Stops a process and records when, and whether it exited with code 0. */
async function recordStop(process: RunningProcess, node: DemoNode): Promise<ObservedDrain> {
    const startedAt = Date.now();
    const { code } = await process.stop();
    return { startedAt, exitedCleanly: code === 0, endedAt: Date.now(), server: node.id };
}

async function hasAllMembersLive(client: DaemonClient, node: DemoNode, count: number): Promise<boolean> {
    const members = await client.readMembers(node);
    return members !== undefined && members.filter(({ state }) => state === "live").length === count;
}
