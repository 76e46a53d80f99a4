/** Joins the parts of a daemon: mesh node, request path, watch of the backend server, control interface. */
import { randomInt } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { ServerStateTracker } from "../../coordination/renewal/index.js";
import { createSeededRandom } from "../../state/shared/index.js";
import type { MeshView, ReadMeshView } from "../../state/view/index.js";
import type { ControlHealth, ControlInterface } from "../control/index.js";
import { startControlInterface } from "../control/index.js";
import type { CreatePartLogger, PartLogger } from "../logging/index.js";
import type { MeshLog, MeshNode } from "../mesh/index.js";
import { startMeshNode } from "../mesh/index.js";
import type { DaemonSettings } from "../settings/index.js";
import type { StoreClient } from "../store/index.js";
import { createDaemonClock } from "./DaemonClock.js";
import type { Daemon, DaemonEffects } from "./DaemonOptions.js";
import type { DaemonStatus } from "./DaemonStatus.js";
import { InForceTracker } from "./DaemonStatus.js";
import type { RequestPath } from "./RequestPath.js";
import { startRequestPath } from "./RequestPath.js";
import { registerServerProbe } from "./ServerProbe.js";

/** Time in which the record of a leaving server reaches the other daemons before the proxy refuses work. */
const LEAVING_SPREAD_MS = 1000;
const HIGHEST_SEED = 2 ** 32 - 1;

const EMPTY_VIEW: MeshView = {
    configuration: undefined,
    cutOffDomains: new Set(),
    members: new Map(),
    membersByService: new Map(),
};

/** The mesh's log has bunyan's order of arguments and messages with their prefix. */
/** Writes the lines of a mesh node under the part that each names before its sentence. */
function createMeshLog(createPartLogger: CreatePartLogger): MeshLog {
    const loggers = { mesh: createPartLogger("mesh"), peer: createPartLogger("peer") };
    const createWriter = (level: "debug" | "info" | "warn") => (fields: object, message: string): void => {
        const logger = message.startsWith("peer: ") ? loggers.peer : loggers.mesh;
        logger[level](message.replace(/^[a-z]+: /, ""), { ...fields });
    };
    return { debug: createWriter("debug"), info: createWriter("info"), warn: createWriter("warn") };
}

class RunningDaemon implements Daemon {
    readonly #startedAt = performance.now();
    readonly #inForce = new InForceTracker();
    readonly #watch: ServerStateTracker;
    readonly #stopProbe: () => void;
    #control: ControlInterface | undefined;
    #isStopping = false;

    constructor(
        private readonly settings: DaemonSettings,
        private readonly log: PartLogger,
        private readonly mesh: MeshNode,
        private readonly path: RequestPath,
        private readonly store: StoreClient,
    ) {
        this.#watch = new ServerStateTracker((record, state) => {
            log.info(`server of ${record.service} is ${state}.`, { server: record });
            path.proxy.setServerState(state);
            mesh.announceServer(record, state);
        });
        this.#stopProbe = registerServerProbe(
            this.#watch,
            () => mesh.readView(),
            () => path.proxy.readLastResultAt(),
            isHealthy => {
                path.proxy.setServerHealth(isHealthy);
            },
        );
        mesh.subscribeView(view => {
            this.#observeView(view);
        });
        this.#observeView(mesh.readView());
    }

    get requestPort(): number {
        return this.path.proxy.requestPort;
    }

    get relayPort(): number {
        return this.path.proxy.relayPort;
    }

    get peerPort(): number {
        return this.mesh.peerPort;
    }

    get controlPort(): number {
        return this.#control?.port ?? 0;
    }

    async startControl(): Promise<void> {
        const { controlHost, controlPort, token } = this.settings;
        this.#control = await startControlInterface({
            explain: query => this.path.proxy.explain(query),
            host: controlHost,
            port: controlPort,
            readHealth: () => this.#readHealth(),
            readHistograms: () => this.path.readHistograms(),
            readMembers: () => [...this.mesh.readView().members.values()],
            readStatus: async scope =>
                scope === "daemon"
                    ? this.#readStatus()
                    : { ...await this.mesh.readStatus(), ...this.#readStatus() },
            serverWatch: this.#watch,
            token,
        });
    }

    async stop(): Promise<void> {
        this.#isStopping = true;
        this.#watch.close();
        await sleep(LEAVING_SPREAD_MS);
        await this.path.stop();
        await this.mesh.stop();
        await this.#finish();
        this.log.info("planned stop has ended.");
    }

    async closeAbruptly(): Promise<void> {
        this.#isStopping = true;
        await Promise.all([this.path.closeAbruptly(), this.mesh.closeAbruptly()]);
        await this.#finish();
    }

    async #finish(): Promise<void> {
        this.#stopProbe();
        await this.#control?.stop();
        await this.store.close();
    }

    #observeView(view: MeshView): void {
        this.#inForce.observe(view, Date.now());
    }

    #readHealth(): ControlHealth {
        if (this.#isStopping) {
            return { detail: "The daemon is stopping.", ready: false };
        }
        return this.#inForce.read() === undefined
            ? { detail: "No version is in force yet.", ready: false }
            : { detail: "Requests are proxied.", ready: true };
    }

    #readStatus(): DaemonStatus {
        return {
            counters: this.mesh.readCounters(),
            id: this.settings.id,
            inForce: this.#inForce.read(),
            isStopping: this.#isStopping,
            residentBytes: process.memoryUsage.rss(),
            server: this.#watch.readServer(),
            storeBytes: this.store.readTransferredBytes(),
            uptimeMs: Math.round(performance.now() - this.#startedAt),
        };
    }
}

/** Starts a daemon; resolves when all its ports listen and rejects when one is taken. */
export async function startDaemon(settings: DaemonSettings, effects: DaemonEffects): Promise<Daemon> {
    const random = createSeededRandom(randomInt(HIGHEST_SEED));
    // The proxy needs the mesh's view, and the mesh announces the proxy's port.
    let readView: ReadMeshView = () => EMPTY_VIEW;
    const path = await startRequestPath({
        ...effects,
        now: createDaemonClock(),
        random,
        readView: () => readView(),
        settings,
    });
    const mesh = await startMeshNode({
        address: settings.address,
        failureDomain: settings.failureDomain,
        id: settings.id,
        log: createMeshLog(effects.createPartLogger),
        meshKey: settings.meshKey,
        now: () => Date.now(),
        peerPort: settings.peerPort,
        random,
        region: settings.region,
        relayPort: path.proxy.relayPort,
        seeds: settings.seeds.map(({ host, port }) => host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`),
        store: effects.store,
        ...(effects.delayLink === undefined ? {} : { delayLink: effects.delayLink }),
    });
    readView = () => mesh.readView();
    const daemon = new RunningDaemon(settings, effects.createPartLogger("daemon"), mesh, path, effects.store);
    await daemon.startControl();
    return daemon;
}
