import type { ChildProcess } from "node:child_process";
import { fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { applyDocument } from "../../src/coordination/acceptance/index.js";
import { createSeededRandom } from "../../src/state/shared/index.js";
import type { StorePort } from "../../src/state/store/index.js";
import { HEAD_KEY } from "../../src/state/versions/index.js";
import { createStoreClient } from "../../src/transport/store/index.js";
import { startStoreServer } from "../../standins/store/index.js";
import type { StoreServer } from "../../standins/store/index.js";
import type { FleetCommand, FleetEvent, FleetMode, FleetReport } from "./FleetMessages.js";
import { readPreciseTime } from "./FleetMessages.js";
import { createMeasuredDocument, DOMAINS, MESH_KEY, SERVICES } from "./MeasuredDocument.js";

const CONVERGENCE_TIMEOUT_MS = 60_000;
const POLL_MS = 20;
const STORE_TIMEOUT_MS = 5_000;

interface Worker {
    readonly child: ChildProcess;
    readonly failureDomain: string;
    readonly region: string;
    peerPorts: readonly number[];
}

/** Totals over all processes. */
export type FleetTotals = Omit<FleetReport, "kind" | "versions">;

/** A store, and daemons without a request path in one process per failure domain. */
export class Fleet {
    /** When each daemon put each version in force, by version and daemon id. */
    private readonly inForce = new Map<number, Map<string, number>>();
    private revision = 0;
    private generation = 0;

    private constructor(
        readonly store: StoreServer,
        private readonly client: ReturnType<typeof createStoreClient>,
        private readonly workers: readonly Worker[],
        private readonly mode: FleetMode,
        private readonly size: number,
        private readonly weighing: string,
    ) {}

    static async start(mode: FleetMode, size: number, weighing: string): Promise<Fleet> {
        const store = await startStoreServer({ port: 0 });
        const client = createStoreClient({ timeoutMs: STORE_TIMEOUT_MS, url: store.url });
        const workers = await Promise.all(DOMAINS.map(domain => startWorker(domain)));
        const fleet = new Fleet(store, client, workers, mode, size, weighing);
        workers.forEach(worker => worker.child.on("message", (event: FleetEvent) => fleet.recordInForce(event)));
        return fleet;
    }

    /** Starts the daemons of all or of some failure domains. */
    async startDaemons(domains: readonly string[] = DOMAINS.map(domain => domain.failureDomain)): Promise<void> {
        this.generation++;
        for (const [index, worker] of this.workers.entries()) {
            if (domains.includes(worker.failureDomain)) {
                const started = awaitEvent(worker.child, "started");
                this.send(worker, {
                    daemons: this.listDaemons(worker.failureDomain),
                    failureDomain: worker.failureDomain,
                    kind: "start",
                    mode: this.mode,
                    region: worker.region,
                    seed: this.generation * DOMAINS.length + index,
                    seeds: this.listSeeds(),
                    storeUrl: this.store.url,
                });
                worker.peerPorts = (await started).peerPorts;
            }
        }
    }

    /** Kills the daemons of a failure domain without a drain. */
    async crash(domain: string): Promise<void> {
        const worker = this.workers.find(each => each.failureDomain === domain);
        if (worker !== undefined) {
            const crashed = awaitEvent(worker.child, "crashed");
            worker.peerPorts = [];
            this.inForce.forEach(times => this.listDaemons(domain).forEach(({ id }) => times.delete(id)));
            this.send(worker, { kind: "crash" });
            await crashed;
        }
    }

    /** Applies a changed document; returns its version and the time at which its head was written. */
    async applyNextRevision(): Promise<{ readonly version: number; readonly at: number; }> {
        let at = 0;
        const store: StorePort = {
            delete: (key, version) => this.client.delete(key, version),
            get: key => this.client.get(key),
            list: prefix => this.client.list(prefix),
            put: (key, value, condition) => {
                at = key === HEAD_KEY ? readPreciseTime() : at;
                return this.client.put(key, value, condition);
            },
            watch: (key, after, waitMs) => this.client.watch(key, after, waitMs),
        };
        const outcome = await applyDocument({
            author: "measurement",
            meshKey: MESH_KEY,
            message: "change",
            now: Date.now(),
            random: createSeededRandom(this.revision),
            sleep,
            source: createMeasuredDocument(this.weighing, ++this.revision),
            store,
        });
        if (outcome.kind !== "accepted") {
            throw new Error(`the document was not accepted: ${JSON.stringify(outcome)}`);
        }
        return { at, version: outcome.version.version };
    }

    /** Waits until every daemon has the version in force; returns when each put it in force. */
    async awaitInForce(version: number): Promise<readonly number[]> {
        const deadline = readPreciseTime() + CONVERGENCE_TIMEOUT_MS;
        while ((this.inForce.get(version)?.size ?? 0) < this.size) {
            if (readPreciseTime() > deadline) {
                const reports = await Promise.all(this.workers.map(worker => this.readReport(worker)));
                throw new Error(
                    `version ${version} is not in force on all ${this.size} daemons `
                        + `after ${CONVERGENCE_TIMEOUT_MS} ms: ${JSON.stringify(reports.map(r => r.versions))}`,
                );
            }
            await sleep(POLL_MS);
        }
        return [...(this.inForce.get(version)?.values() ?? [])];
    }

    /** Counts the running daemons that have the version in force. */
    async countInForce(version: number): Promise<number> {
        const reports = await Promise.all(this.workers.map(worker => this.readReport(worker)));
        return reports.reduce((total, each) => total + (each.versions[version] ?? 0), 0);
    }

    async readTotals(): Promise<FleetTotals> {
        const reports = await Promise.all(this.workers.map(worker => this.readReport(worker)));
        const sum = (read: (report: FleetReport) => number): number =>
            reports.reduce((total, each) => total + read(each), 0);
        const acrossRegions = reports.filter((_, index) => this.workers[index]?.region !== DOMAINS[0].region);
        const storeBytesAcross = acrossRegions.reduce((total, each) => total + each.storeBytes, 0);
        return {
            cpuMicroseconds: sum(each => each.cpuMicroseconds),
            daemons: sum(each => each.daemons),
            heapBytes: sum(each => each.heapBytes),
            peakStoreCalls: sum(each => each.peakStoreCalls),
            rssBytes: sum(each => each.rssBytes),
            sentBytes: sum(each => each.sentBytes + each.storeBytes),
            sentBytesAcrossRegions: sum(each => each.sentBytesAcrossRegions) + storeBytesAcross,
            storeBytes: sum(each => each.storeBytes),
            storeCalls: sum(each => each.storeCalls),
        };
    }

    async stop(): Promise<void> {
        this.workers.forEach(worker => worker.child.kill());
        await this.client.close();
        await this.store.close();
    }

    private recordInForce(event: FleetEvent): void {
        if (event.kind === "in-force") {
            // A daemon that skips versions counts as converged on them when it puts a newer one in force.
            for (let version = event.version; version > 0 && !this.inForce.get(version)?.has(event.id); version--) {
                const times = this.inForce.get(version) ?? new Map<string, number>();
                this.inForce.set(version, times.set(event.id, event.at));
            }
        }
    }

    private listDaemons(domain: string): readonly { readonly id: string; readonly service: string; }[] {
        const count = Math.floor(this.size / DOMAINS.length);
        const first = DOMAINS.findIndex(each => each.failureDomain === domain) * count;
        return Array.from({ length: count }, (_, index) => ({
            id: `${domain}-${index + 1}`,
            service: SERVICES[(first + index) % SERVICES.length] ?? "",
        }));
    }

    /** Lists the peer addresses of two daemons per running failure domain. */
    private listSeeds(): readonly string[] {
        return this.workers.flatMap(worker => worker.peerPorts.slice(0, 2)).map(port => `127.0.0.1:${port}`);
    }

    private async readReport(worker: Worker): Promise<FleetReport> {
        const report = awaitEvent(worker.child, "report");
        this.send(worker, { kind: "report" });
        return report;
    }

    private send(worker: Worker, command: FleetCommand): void {
        worker.child.send(command);
    }
}

async function startWorker(domain: (typeof DOMAINS)[number]): Promise<Worker> {
    const child = fork(new URL("./FleetWorker.js", import.meta.url), { execArgv: ["--expose-gc"] });
    await awaitEvent(child, "ready");
    return { child, ...domain, peerPorts: [] };
}

function awaitEvent<K extends FleetEvent["kind"]>(
    child: ChildProcess,
    kind: K,
): Promise<Extract<FleetEvent, { readonly kind: K; }>> {
    return new Promise(resolve => {
        const observe = (event: FleetEvent): void => {
            if (event.kind === kind) {
                child.off("message", observe);
                resolve(event as Extract<FleetEvent, { readonly kind: K; }>);
            }
        };
        child.on("message", observe);
    });
}
