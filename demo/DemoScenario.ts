/** The steps of the demo: apply, load, two changes, a drain, a crash, and the observations of it all. */
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as wait } from "node:timers/promises";
import type { ApplyOutcome, VersionSummary } from "../src/coordination/acceptance/index.js";
import { createSeededRandom } from "../src/state/shared/index.js";
import type { RunningProcess } from "./ChildProcesses.js";
import type { DaemonClient } from "./DaemonClient.js";
import { DEMO_CHANGES } from "./DemoChanges.js";
import type { DemoLayout, DemoPlace } from "./DemoLayout.js";
import type { DemoMesh } from "./DemoMesh.js";
import type { Observations, SeenDrain } from "./PromiseChecks.js";
import type { RequestLoad } from "./RequestLoad.js";
import { startRequestLoad } from "./RequestLoad.js";
import { RequestPlan } from "./RequestPlan.js";
import { VersionWatch } from "./VersionWatch.js";

const READY_LIMIT_MS = 30_000;
const CONVERGENCE_LIMIT_MS = 20_000;
const POLL_INTERVAL_MS = 100;
const REQUESTS_PER_SECOND = 150;
/** Time under load before and after each step. */
const STEP_PAUSE_MS = 1500;
/** A crashed server stays away longer than the time after which it is announced as dead. */
const CRASH_ABSENCE_MS = 4500;

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
    /** One convergence time for each accepted version; undefined where some daemon never had it in force. */
    readonly convergenceMs: readonly (number | undefined)[];
    readonly controlBytes: { readonly total: number; readonly crossRegion: number; };
}

export class DemoScenario {
    readonly #watch: VersionWatch;
    readonly #convergenceMs: (number | undefined)[] = [];
    #text: string;
    #lastAccepted = 0;

    constructor(private readonly options: ScenarioOptions) {
        this.#watch = new VersionWatch(options.client, options.mesh.places);
        this.#text = options.text;
    }

    async run(): Promise<ScenarioResult> {
        const { layout, mesh, print, seed } = this.options;
        print(`Starting a store, ${mesh.places.length} daemons and ${mesh.places.length} backend servers.`);
        mesh.startAll();
        await this.#awaitAnnouncements();
        this.#watch.start();
        await this.#apply("example document", this.#text);
        const load = startRequestLoad(
            new RequestPlan(layout.document, createSeededRandom(seed)),
            mesh.places.map(place => place.requestPort),
            REQUESTS_PER_SECOND,
        );
        const drains = await this.#runSteps(load);
        await this.#watch.stop();
        return {
            controlBytes: this.#sumControlBytes(),
            convergenceMs: this.#convergenceMs,
            observations: await this.#observe(await load.finish(), drains),
        };
    }

    async #runSteps(load: RequestLoad): Promise<readonly SeenDrain[]> {
        const { mesh, print } = this.options;
        await wait(STEP_PAUSE_MS);
        for (const change of DEMO_CHANGES) {
            await this.#apply(change.description, change.apply(this.#text));
            await wait(STEP_PAUSE_MS);
        }
        const [drained, stopped, crashed] = mesh.places;
        if (drained === undefined || stopped === undefined || crashed === undefined) {
            throw new RangeError("The document plans fewer than three servers.");
        }
        const drains = [await this.#drainServer(drained), await this.#restartDaemon(stopped, load)];
        await wait(STEP_PAUSE_MS);
        print(`The server beside ${crashed.id} crashes.`);
        mesh.getServer(crashed.id).signal("SIGKILL");
        await wait(CRASH_ABSENCE_MS);
        mesh.startServer(crashed);
        await wait(STEP_PAUSE_MS);
        return drains;
    }

    async #apply(description: string, text: string): Promise<void> {
        const { mesh, print } = this.options;
        const { time, version } = await this.#runApply(description, text);
        this.#text = text;
        this.#lastAccepted = version;
        const reached = await this.#watch.awaitVersion(version, Date.now() + CONVERGENCE_LIMIT_MS);
        const tookMs = reached === undefined ? undefined : reached - time;
        this.#convergenceMs.push(tookMs);
        const detail = tookMs === undefined
            ? "is not in force everywhere"
            : `is in force everywhere after ${tookMs} ms`;
        print(`Version ${version} (${description}) ${detail}.`);
        for (const ended of mesh.listEndedDaemons()) {
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

    async #drainServer(place: DemoPlace): Promise<SeenDrain> {
        const { mesh, print } = this.options;
        print(`The server beside ${place.id} is restarted with a drain.`);
        const drain = await observeStop(mesh.getServer(place.id), place);
        mesh.startServer(place);
        await wait(STEP_PAUSE_MS);
        return drain;
    }

    async #restartDaemon(place: DemoPlace, load: RequestLoad): Promise<SeenDrain> {
        const { client, mesh, print } = this.options;
        print(`Daemon ${place.id} is restarted with a planned stop.`);
        load.pause(place.requestPort);
        const drain = await observeStop(mesh.getDaemon(place.id), place);
        mesh.startDaemon(place);
        const deadline = Date.now() + READY_LIMIT_MS;
        while (!await client.isReady(place) && Date.now() < deadline) {
            await wait(POLL_INTERVAL_MS);
        }
        load.resume(place.requestPort);
        return drain;
    }

    /** Waits until every daemon knows that every server is live. */
    async #awaitAnnouncements(): Promise<void> {
        const { client, mesh } = this.options;
        const deadline = Date.now() + READY_LIMIT_MS;
        for (const place of mesh.places) {
            while (!await hasLearntAll(client, place, mesh.places.length)) {
                if (Date.now() > deadline || mesh.listEndedDaemons().length > 0) {
                    const ended = mesh.listEndedDaemons().join("\n");
                    throw new Error(`${place.id} did not learn of all servers in time.\n${ended}`);
                }
                await wait(POLL_INTERVAL_MS);
            }
        }
    }

    async #observe(results: Observations["results"], drains: readonly SeenDrain[]): Promise<Observations> {
        const { client, layout, mesh } = this.options;
        const dangling = await Promise.all(
            mesh.places.map(place => client.listDanglingRoutes(place, layout.document)),
        );
        return {
            daemons: mesh.places.map(({ id }) => id),
            danglingRoutes: dangling.flat(),
            drains,
            lastAccepted: this.#lastAccepted,
            results,
            runs: mesh.runs,
            versions: this.#watch.seen,
        };
    }

    /** Traffic between daemons, and of daemons with the store, which is in one of the regions. */
    #sumControlBytes(): ScenarioResult["controlBytes"] {
        const { layout, mesh } = this.options;
        const regions = new Map(mesh.places.map(({ id, region }) => [id, region]));
        const sum = { crossRegion: 0, total: 0 };
        for (const { counters, id, storeBytes } of this.#watch.listLastStatuses()) {
            const bytes = storeBytes.receivedBytes + storeBytes.sentBytes;
            sum.total += counters.sentBytes + bytes;
            sum.crossRegion += counters.sentBytesAcrossRegions
                + (regions.get(id) === layout.document.mesh.storeRegion ? 0 : bytes);
        }
        return sum;
    }
}

/** Stops a process and notes when, and whether it ended by itself with success. */
async function observeStop(process: RunningProcess, place: DemoPlace): Promise<SeenDrain> {
    const beganAt = Date.now();
    const { code } = await process.stop();
    return { beganAt, ended: code === 0, endedAt: Date.now(), server: place.id };
}

async function hasLearntAll(client: DaemonClient, place: DemoPlace, count: number): Promise<boolean> {
    const members = await client.readMembers(place);
    return members !== undefined && members.filter(({ state }) => state === "live").length === count;
}
