/** Starts the store stand-in, the daemons and the backend servers of the demo as processes on loopback. */
import { randomBytes } from "node:crypto";
import { fileURLToPath } from "node:url";
import type { ChildProcesses, RunningProcess } from "./ChildProcesses.js";
import type { DemoLayout, DemoNode } from "./DemoLayout.js";
import { DEMO_LINKS_VARIABLE, encodeLinks } from "./DemoLinks.js";
import type { ObservedExecution } from "./GuaranteeChecks.js";
import { LEAVING_BOUND_MS } from "./GuaranteeChecks.js";

const HOST = "127.0.0.1";
const SECRET_BYTES = 24;
const SERVICE_TIME_MS = 8;
const SEED_COUNT = 3;
/** Exceeds `LEAVING_BOUND_MS`, so that new work after the bound is observed as a violation. */
const DRAIN_MS = LEAVING_BOUND_MS + 2000;

/** Resolves a built script relative to the demo's folder. */
function findScript(path: string): string {
    return fileURLToPath(new URL(path, import.meta.url));
}

/** Random secrets of one demo run. */
export interface DemoSecrets {
    readonly meshKey: string;
    readonly token: string;
}

export function generateSecrets(): DemoSecrets {
    const generateSecret = (): string => randomBytes(SECRET_BYTES).toString("base64url");
    return { meshKey: generateSecret(), token: generateSecret() };
}

/** One line of the backend server stand-in's standard output. */
interface BackendEvent {
    readonly event: string;
    readonly time: number;
    readonly tag?: string;
    readonly idempotencyKey?: string;
}

export class DemoMesh {
    readonly executions: ObservedExecution[] = [];
    readonly #servers = new Map<string, RunningProcess>();
    readonly #daemons = new Map<string, RunningProcess>();

    constructor(
        private readonly layout: DemoLayout,
        private readonly secrets: DemoSecrets,
        private readonly processes: ChildProcesses,
        private readonly seed: number,
    ) {}

    get storeUrl(): string {
        return `http://${HOST}:${this.layout.storePort}`;
    }

    get nodes(): readonly DemoNode[] {
        return this.layout.nodes;
    }

    startAll(): void {
        this.#startStore();
        for (const node of this.nodes) {
            this.startDaemon(node);
            this.startServer(node);
        }
    }

    startServer(node: DemoNode): void {
        const flags = {
            "connections": node.connections,
            "drain-ms": DRAIN_MS,
            "daemon": `http://${HOST}:${node.controlPort}`,
            "port": node.serverPort,
            "seed": this.seed + node.serverPort,
            "service": node.service,
            "service-time-ms": SERVICE_TIME_MS,
            "slots": node.slots,
        };
        const server = this.processes.start({
            args: buildArguments(flags),
            name: `server ${node.id}`,
            onLine: line => {
                this.#recordExecution(node.id, JSON.parse(line) as BackendEvent);
            },
            script: findScript("../standins/backend/backend-server.js"),
        });
        this.#servers.set(node.id, server);
    }

    getServer(id: string): RunningProcess {
        return getProcess(this.#servers, id);
    }

    getDaemon(id: string): RunningProcess {
        return getProcess(this.#daemons, id);
    }

    /** Runs a `papayaturn` command and returns its standard output. */
    async runCommand(args: readonly string[]): Promise<string> {
        const lines: string[] = [];
        const command = this.processes.start({
            args,
            environment: {
                PAPAYATURN_AUTHOR: "demo",
                PAPAYATURN_MESH_KEY: this.secrets.meshKey,
                PAPAYATURN_STORE_URL: this.storeUrl,
                PAPAYATURN_TOKEN: this.secrets.token,
            },
            name: `papayaturn ${args.join(" ")}`,
            onLine: line => lines.push(line),
            script: findScript("../src/binaries/papayaturn.js"),
        });
        const { code } = await command.exited;
        if (code !== 0) {
            throw new Error(`${command.name} exited with code ${code ?? "none"}:\n${command.lastLines.join("\n")}`);
        }
        return lines.join("\n");
    }

    /** Lists the daemons that exited unexpectedly, with their last lines of output. */
    listExitedDaemons(): readonly string[] {
        return [...this.#daemons.values()].filter(daemon => !daemon.isRunning)
            .map(daemon => `${daemon.name} ended:\n${daemon.lastLines.join("\n")}`);
    }

    #startStore(): void {
        this.processes.start({
            args: buildArguments({ host: HOST, port: this.layout.storePort }),
            name: "store",
            script: findScript("../standins/store/main.js"),
        });
    }

    startDaemon(node: DemoNode): void {
        const flags = {
            "address": HOST,
            "control-port": node.controlPort,
            "failure-domain": node.failureDomain,
            "id": node.id,
            "log-level": "warn",
            "peer-port": node.peerPort,
            "region": node.region,
            "relay-port": node.relayPort,
            "request-port": node.requestPort,
            "seed": this.nodes.slice(0, SEED_COUNT).map(({ peerPort }) => `${HOST}:${peerPort}`).join(","),
            "store": this.storeUrl,
        };
        const daemon = this.processes.start({
            args: buildArguments(flags),
            environment: {
                [DEMO_LINKS_VARIABLE]: encodeLinks(this.layout.document.mesh),
                PAPAYATURN_MESH_KEY: this.secrets.meshKey,
                PAPAYATURN_TOKEN: this.secrets.token,
            },
            name: `daemon ${node.id}`,
            script: findScript("./demo-daemon.js"),
        });
        this.#daemons.set(node.id, daemon);
    }

    #recordExecution(server: string, { event, idempotencyKey, tag, time }: BackendEvent): void {
        if (event === "run") {
            this.executions.push({ idempotencyKey, server, tag, time });
        }
    }
}

function getProcess(processes: ReadonlyMap<string, RunningProcess>, id: string): RunningProcess {
    const found = processes.get(id);
    if (found === undefined) {
        throw new RangeError(`No process was started for node ${id}.`);
    }
    return found;
}

function buildArguments(flags: Readonly<Record<string, string | number>>): readonly string[] {
    return Object.entries(flags).flatMap(([flag, value]) => [`--${flag}`, String(value)]);
}
