/** Joins the parts of a daemon that runs on a platform beside a backend server. */
import type { Server } from "node:http";
import { RetryBudget } from "../../coordination/retries/index.js";
import type { Dialect } from "../../protocol/dialect/index.js";
import { MemberState } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import type { MeshStorePort } from "../../state/store/index.js";
import { ConfigurationKeeper, MemberKeeper } from "../directory/index.js";
import type { DecodeConfiguration } from "../directory/index.js";
import { createAccessLog } from "../logging/index.js";
import type { CreatePartLogger, PartLogger } from "../logging/index.js";
import { combineRecorders, createRequestMetrics } from "../metrics/index.js";
import { checkHealth, OwnerGate } from "../ownership/index.js";
import type { PeerNetwork } from "../peer/index.js";
import { SessionHub } from "../sessions/index.js";
import { BUDGET_SHARE, CallerListener, computeDistance, ServerDirectory } from "../traffic/index.js";
import { renderMetrics } from "./MetricsText.js";
import { openPlainPort } from "./PlainEndpoints.js";
import type { AnswerCall } from "./PlainEndpoints.js";
import type { SidecarSettings } from "./SidecarSettings.js";

/** Time without any reachable daemon after which callers should go elsewhere. */
const ISOLATED_MS = 1_500;
/** Time without a sign of life after which a VM is taken to be gone for good; longer than regions lose each other. */
const FORGET_AFTER_MS = 600_000;
const FORGET_CHECK_MS = 10_000;
/** Part of the time between SIGTERM and SIGKILL after which a planned stop ends what still runs; it ends in the last sixth. */
const STOP_SHARE = 0.87;
const MS_PER_SECOND = 1_000;

/** What a daemon is given beside its settings. */
export interface SidecarEffects {
    readonly createPartLogger: CreatePartLogger;
    readonly dialect: Dialect;
    readonly store: MeshStorePort;
    readonly decodeConfiguration: DecodeConfiguration;
    readonly network: PeerNetwork;
    /** Answers the platform's question whether callers may come. */
    readonly answerReady: (isReady: boolean) => AnswerCall;
    /** Answers reports of the backend server. */
    readonly answerReports: (gate: OwnerGate, log: PartLogger) => AnswerCall;
    readonly now: () => number;
    /** Unix milliseconds. */
    readonly readWallClock: () => number;
    readonly random: () => number;
    readonly createSessionId: () => string;
    readonly readDroppedLines: () => number;
}

export interface Sidecar {
    /** Planned stop: interrupts no request. */
    stop(): Promise<void>;
    /** Takes changed settings in; those of ports and of the daemon's identity need a restart. */
    reload(settings: SidecarSettings): void;
    /** Ends at once as a crash does; for tests. */
    closeAbruptly(): Promise<void>;
}

export async function startSidecar(settings: SidecarSettings, effects: SidecarEffects): Promise<Sidecar> {
    const sidecar = new RunningSidecar(settings, effects);
    await sidecar.start();
    return sidecar;
}

/** Settings that are followed while the daemon runs. */
const RELOADED_SETTINGS: ReadonlySet<string> = new Set([
    "graceMs",
    "retryRatio",
    "retrySlack",
    "retryWindowMs",
    "storeUrl",
]);

class RunningSidecar implements Sidecar {
    #settings: SidecarSettings;
    readonly #effects: SidecarEffects;
    readonly #log: PartLogger;
    readonly #gate: OwnerGate;
    readonly #hub: SessionHub;
    readonly #members: MemberKeeper;
    readonly #directory: ServerDirectory;
    readonly #configuration: ConfigurationKeeper;
    readonly #callers: CallerListener;
    readonly #metrics = createRequestMetrics();
    readonly #budgets = new Map<string, RetryBudget>();
    readonly #servers: Server[] = [];
    #isStopping = false;
    #isolatedSince: number | undefined;
    #forgetTimer: NodeJS.Timeout | undefined;

    constructor(settings: SidecarSettings, effects: SidecarEffects) {
        this.#settings = settings;
        this.#effects = effects;
        const { createPartLogger, now, random } = effects;
        this.#log = createPartLogger("daemon");
        const self = buildMember(settings, effects.readWallClock());
        this.#gate = new OwnerGate({
            confirmation: settings.isFirstStart ? undefined : {
                checkHealth: (server, path) => checkHealth(effects.dialect, server, path),
                log: createPartLogger("gate"),
                random,
                readHealthPath: service => this.#configuration.configuration?.services.get(service)?.healthPath,
            },
            dialect: effects.dialect,
            log: createPartLogger("gate"),
            now,
            onChange: load => {
                this.#directory.recordLoad(settings.id, load);
                this.#hub.announceLoad();
            },
        });
        this.#members = new MemberKeeper({
            isFirstStart: settings.isFirstStart,
            log: createPartLogger("members"),
            onGone: member => {
                this.#hub.disconnect(member.id);
                this.#directory.removeMember(member);
            },
            onMember: member => this.#addMember(member),
            random,
            self,
            store: effects.store,
        });
        this.#hub = new SessionHub({
            createSessionId: effects.createSessionId,
            listMembers: () => this.#members.list(),
            log: createPartLogger("sessions"),
            network: effects.network,
            now,
            onCondition: condition => this.#configuration.noteCondition(condition),
            onConfiguration: ({ revision, text }) => this.#configuration.adopt({ revision, text }, "another daemon"),
            onLoad: (id, load) => this.#directory.recordLoad(id, load),
            onMembers: members => this.#members.merge(members),
            onServerRecalled: server => {
                if (server.service === settings.service) {
                    this.#gate.recall(server);
                }
            },
            onRoundTrip: (id, ms) => this.#directory.recordRoundTrip(id, ms),
            random,
            readCondition: () => ({
                isWatching: this.#configuration.isWatching,
                revision: this.#configuration.text?.revision ?? 0,
            }),
            readConfiguration: () => this.#configuration.text,
            readLoad: () => this.#gate.readLoad(),
            readServer: () => this.#gate.readIdentity(),
            readSelf: () => this.#members.self,
            submit: (request, events) => this.#gate.submit(request, events),
        });
        const requestLog = createPartLogger("requests");
        this.#directory = new ServerDirectory({
            gate: this.#gate,
            hub: this.#hub,
            now,
            onEject: (id, service) => {
                requestLog.warn(`server of ${id} is ejected for its failures.`, { id, service });
                this.#metrics.count({ class: undefined, kind: "ejected", reason: "failures", service });
            },
            self,
        });
        this.#configuration = new ConfigurationKeeper({
            decode: effects.decodeConfiguration,
            listReachable: () => this.#listReachable(),
            log: createPartLogger("configuration"),
            now,
            onChange: configuration => {
                this.#callers.applyConfiguration(configuration);
                this.#hub.announceCondition();
            },
            random,
            requestFrom: id => this.#hub.getOwner(id)?.requestConfiguration(),
            selfId: settings.id,
            store: effects.store,
        });
        this.#callers = new CallerListener({
            dialect: effects.dialect,
            directory: this.#directory,
            isRunning: requestId => this.#gate.isRunning(requestId),
            log: requestLog,
            now,
            random,
            readCallerService: () => settings.service,
            readConfiguration: () => this.#configuration.configuration,
            recorder: combineRecorders([this.#metrics, createAccessLog(requestLog)]),
            recordRequest: service => this.#getBudget(service).recordRequest(now()),
            selfId: settings.id,
            takeRepeat: service => this.#takeRepeat(service),
        });
    }

    async start(): Promise<void> {
        const { callerAddress, metricsAddress, peerAddress, readyAddress, reportAddress } = this.#settings;
        await this.#hub.start(peerAddress.host, peerAddress.port);
        await this.#callers.listen(callerAddress.host, callerAddress.port);
        const answerReports = this.#effects.answerReports(this.#gate, this.#log);
        this.#servers.push(
            await openPlainPort(reportAddress, answerReports),
            await openPlainPort(readyAddress, call => this.#effects.answerReady(this.#isReady())(call)),
        );
        if (metricsAddress !== undefined) {
            this.#servers.push(
                await openPlainPort(metricsAddress, () => ({
                    body: this.#renderMetrics(),
                    contentType: "text/plain; version=0.0.4",
                    status: 200,
                })),
            );
        }
        this.#configuration.start();
        void this.#members.register();
        this.#forgetTimer = setInterval(() => this.#forgetLost(), FORGET_CHECK_MS);
        this.#log.info("started.", { settings: this.#settings });
    }

    async stop(): Promise<void> {
        this.#isStopping = true;
        const begin = this.#effects.now();
        const longestMs = this.#settings.graceMs * STOP_SHARE;
        this.#gate.beginStop();
        this.#members.stop();
        await this.#callers.drain(longestMs);
        while (this.#gate.pending > 0 && this.#effects.now() - begin < longestMs) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        await this.#closePorts();
        this.#log.info("planned stop has ended.", {
            open: this.#callers.open,
            pending: this.#gate.pending,
            tookMs: Math.round(this.#effects.now() - begin),
        });
    }

    reload(settings: SidecarSettings): void {
        const before = this.#settings as unknown as Record<string, unknown>;
        const changed = Object.entries(settings)
            .filter(([name, value]) => JSON.stringify(value) !== JSON.stringify(before[name]))
            .map(([name]) => name);
        const ignored = changed.filter(name => !RELOADED_SETTINGS.has(name));
        const followed = changed.filter(name => RELOADED_SETTINGS.has(name));
        this.#settings = {
            ...this.#settings,
            ...Object.fromEntries(Object.entries(settings).filter(([name]) => RELOADED_SETTINGS.has(name))),
        };
        this.#log.info("settings were read again.", { followed, ignored });
    }

    async closeAbruptly(): Promise<void> {
        this.#members.stop();
        this.#callers.closeAbruptly();
        await this.#closePorts();
    }

    async #closePorts(): Promise<void> {
        clearInterval(this.#forgetTimer);
        this.#configuration.stop();
        await this.#hub.stop();
        this.#gate.closeAll();
        for (const server of this.#servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    #addMember(member: Member): void {
        this.#hub.connect(member);
        this.#directory.addMember(member);
    }

    /** Drops daemons that are gone, unless it is this one that is cut off. A watcher of the store removes their records. */
    #forgetLost(): void {
        const now = this.#effects.now();
        if (this.#listReachable().length === 0) {
            return;
        }
        for (const session of [...this.#hub.listOwners()]) {
            const lostSince = session.readLostSince(now);
            if (lostSince !== undefined && now - lostSince > FORGET_AFTER_MS) {
                void this.#members.forget(session.member, this.#configuration.isWatching);
            }
        }
    }

    #listReachable() {
        const now = this.#effects.now();
        const self = this.#members.self;
        return [...this.#hub.listOwners()]
            .filter(session => session.isUsable(now))
            .map(({ member }) => ({ distance: computeDistance(self, member), id: member.id }));
    }

    /** Callers may come when requests can be routed and other servers can be reached. */
    #isReady(): boolean {
        if (this.#isStopping || this.#configuration.configuration === undefined) {
            return false;
        }
        const now = this.#effects.now();
        const isConnected = this.#members.list().length <= 1 || this.#listReachable().length > 0;
        this.#isolatedSince = isConnected ? undefined : this.#isolatedSince ?? now;
        return this.#isolatedSince === undefined || now - this.#isolatedSince < ISOLATED_MS;
    }

    #getBudget(service: string): RetryBudget {
        let budget = this.#budgets.get(service);
        if (budget === undefined) {
            budget = new RetryBudget(this.#effects.now());
            this.#budgets.set(service, budget);
        }
        return budget;
    }

    /** The mesh's budget is shared by all daemons without talk: each uses its own requests' part and an equal part of the slack. */
    #takeRepeat(service: string): boolean {
        const { retryRatio, retrySlack, retryWindowMs } = this.#settings;
        const daemons = Math.max(1, this.#members.list().length);
        const isTaken = this.#getBudget(service).takeRetry({
            budget: retryRatio * BUDGET_SHARE,
            minimumPerSecond: retrySlack * BUDGET_SHARE / daemons / (retryWindowMs / MS_PER_SECOND),
        }, this.#effects.now());
        if (!isTaken) {
            this.#metrics.count({ class: undefined, kind: "refused", reason: "repeat-budget", service });
        }
        return isTaken;
    }

    #renderMetrics(): string {
        const load = () => this.#gate.readLoad();
        return renderMetrics(this.#metrics, [
            { name: "server_running", read: () => load().running },
            { name: "server_queued", read: () => load().queued },
            { name: "server_open", read: () => Number(load().isOpen) },
            { name: "configuration_revision", read: () => this.#configuration.text?.revision ?? 0 },
            { name: "members", read: () => this.#members.list().length },
            { name: "members_reachable", read: () => this.#listReachable().length },
            { name: "log_lines_dropped_total", read: this.#effects.readDroppedLines },
        ]);
    }
}

function buildMember(settings: SidecarSettings, startedAt: number): Member {
    const { failureDomain, id, region, serverAddress, service } = settings;
    const peerAddress = settings.advertisedPeerAddress ?? settings.peerAddress;
    return {
        address: peerAddress.host,
        failureDomain,
        id,
        incarnation: startedAt,
        peerPort: peerAddress.port,
        region,
        relayPort: peerAddress.port,
        revision: 0,
        server: { address: serverAddress.host, connections: 0, port: serverAddress.port, service, slots: 0 },
        state: MemberState.Live,
    };
}
