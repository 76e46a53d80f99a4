/** Composes a daemon of its mesh node, request path, watch of the backend server and control interface. */
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
import type { Daemon, DaemonDependencies } from "./DaemonOptions.js";
import type { DaemonStatus } from "./DaemonStatus.js";
import { InForceTracker } from "./DaemonStatus.js";
import type { RequestPath } from "./RequestPath.js";
import { startRequestPath } from "./RequestPath.js";
import { registerServerProbe } from "./ServerProbe.js";

/** Time for the record of a leaving server to reach the other daemons before the proxy refuses requests. */
const LEAVING_PROPAGATION_MS = 1000;
const MAXIMUM_SEED = 2 ** 32 - 1;

const EMPTY_VIEW: MeshView = {
    configuration: undefined,
    cutOffDomains: new Set(),
    members: new Map(),
    membersByService: new Map(),
};

/**
 * Adapts the mesh node's log, which has bunyan's argument order, to part loggers. A line is logged under
 * the part named by its prefix, which is removed.
 */
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
    readonly #serverWatch: ServerStateTracker;
    readonly #stopProbe: () => void;
    #control: ControlInterface | undefined;
    #isStopping = false;

    constructor(
        private readonly settings: DaemonSettings,
        private readonly log: PartLogger,
        private readonly mesh: MeshNode,
        private readonly requestPath: RequestPath,
        private readonly store: StoreClient,
    ) {
        this.#serverWatch = new ServerStateTracker((record, state) => {
            log.info(`server of ${record.service} is ${state}.`, { server: record });
            requestPath.proxy.setServerState(state);
            mesh.announceServer(record, state);
        });
        this.#stopProbe = registerServerProbe(
            this.#serverWatch,
            () => mesh.readView(),
            () => requestPath.proxy.readLastResultAt(),
            isHealthy => {
                requestPath.proxy.setServerHealth(isHealthy);
            },
        );
        mesh.subscribeView(view => {
            this.#observeView(view);
        });
        this.#observeView(mesh.readView());
    }

    get requestPort(): number {
        return this.requestPath.proxy.requestPort;
    }

    get relayPort(): number {
        return this.requestPath.proxy.relayPort;
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
            explain: query => this.requestPath.proxy.explain(query),
            host: controlHost,
            port: controlPort,
            readHealth: () => this.#readHealth(),
            readHistograms: () => this.requestPath.readHistograms(),
            readMembers: () => [...this.mesh.readView().members.values()],
            readStatus: async scope =>
                scope === "daemon"
                    ? this.#readStatus()
                    : { ...await this.mesh.readStatus(), ...this.#readStatus() },
            serverWatch: this.#serverWatch,
            token,
        });
    }

    async stop(): Promise<void> {
        this.#isStopping = true;
        this.#serverWatch.close();
        await sleep(LEAVING_PROPAGATION_MS);
        await this.requestPath.stop();
        await this.mesh.stop();
        await this.#closeResources();
        this.log.info("planned stop has ended.");
    }

    async closeAbruptly(): Promise<void> {
        this.#isStopping = true;
        await Promise.all([this.requestPath.closeAbruptly(), this.mesh.closeAbruptly()]);
        await this.#closeResources();
    }

    async #closeResources(): Promise<void> {
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
            server: this.#serverWatch.readServer(),
            storeBytes: this.store.readTransferredBytes(),
            uptimeMs: Math.round(performance.now() - this.#startedAt),
        };
    }
}

/** Starts a daemon. Resolves when all its ports listen; rejects if one is in use. */
export async function startDaemon(settings: DaemonSettings, dependencies: DaemonDependencies): Promise<Daemon> {
    const random = createSeededRandom(randomInt(MAXIMUM_SEED));
    // The proxy reads the mesh's view, and the mesh announces the proxy's port, so the view is connected later.
    let readView: ReadMeshView = () => EMPTY_VIEW;
    const requestPath = await startRequestPath({
        ...dependencies,
        now: createDaemonClock(),
        random,
        readView: () => readView(),
        settings,
    });
    const mesh = await startMeshNode({
        address: settings.address,
        failureDomain: settings.failureDomain,
        id: settings.id,
        log: createMeshLog(dependencies.createPartLogger),
        meshKey: settings.meshKey,
        now: () => Date.now(),
        peerPort: settings.peerPort,
        random,
        region: settings.region,
        relayPort: requestPath.proxy.relayPort,
        seeds: settings.seeds.map(({ host, port }) => host.includes(":") ? `[${host}]:${port}` : `${host}:${port}`),
        store: dependencies.store,
        ...(dependencies.delayLink === undefined ? {} : { delayLink: dependencies.delayLink }),
    });
    readView = () => mesh.readView();
    const daemon = new RunningDaemon(
        settings,
        dependencies.createPartLogger("daemon"),
        mesh,
        requestPath,
        dependencies.store,
    );
    await daemon.startControl();
    return daemon;
}
