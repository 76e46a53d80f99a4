/** Assembles a daemon that runs on a platform beside a backend server. */
import type { Server } from "node:http";
import { DecisionAges, VersionLag } from "../../coordination/distribution/index.js";
import type { Member } from "../../state/members/index.js";
import { ConfigurationManager, MemberGossip, MemberRegistry } from "../directory/index.js";
import { CostlyReads } from "../input/index.js";
import { createAccessLog } from "../logging/index.js";
import type { PartLogger } from "../logging/index.js";
import { combineRecorders, createRequestMetrics } from "../metrics/index.js";
import { AdmissionController, checkHealth } from "../ownership/index.js";
import { QuarantineArchive, QuarantineManager } from "../quarantine/index.js";
import type { QuotaManager } from "../quotas/index.js";
import type { RolloutManager } from "../rollouts/index.js";
import { findOutdatedRefusal, RouteQueries, RouteResolver } from "../routes/index.js";
import { SessionManager } from "../sessions/index.js";
import type { LocalStatus } from "../sessions/index.js";
import type { HostAndPort } from "../settings/index.js";
import { listReportedTenants, TenantMetrics } from "../tenants/index.js";
import { AgeClock, realTimers } from "../timers/index.js";
import { CallerListener, computeDistance, HedgeManager, ServerDirectory } from "../traffic/index.js";
import type { UplinkSender } from "../uplink/index.js";
import { createQuotas } from "./CreateQuotas.js";
import { listGauges } from "./DaemonGauges.js";
import { DelayMonitor } from "./DelayMonitor.js";
import { dispatchGossip } from "./DispatchGossip.js";
import type { GossipParts } from "./DispatchGossip.js";
import { openEndpoint } from "./HttpEndpoint.js";
import type { EndpointHandler } from "./HttpEndpoint.js";
import { Isolation } from "./Isolation.js";
import { computeLinkRate, createUplink } from "./LinkRate.js";
import { MemberRemoval } from "./MemberRemoval.js";
import { renderMetrics } from "./MetricsText.js";
import { answerOperator } from "./OperatorEndpoint.js";
import { OverloadMonitor } from "./OverloadMonitor.js";
import { buildMember } from "./OwnRecord.js";
import { RetryBudgets } from "./RetryBudgets.js";
import { createRollouts } from "./RolloutWiring.js";
import { SessionSelector } from "./SessionSelector.js";
import { planReload } from "./SettingsReload.js";
import type { Sidecar, SidecarDependencies } from "./SidecarDependencies.js";
import { deriveVersionLimits } from "./SidecarSettings.js";
import type { SidecarSettings } from "./SidecarSettings.js";
import { UsedServices } from "./UsedServices.js";

/** Interval at which the choice of sessions is checked; a new record is followed at the next check. */
const SESSION_UPDATE_INTERVAL_MS = 250;
/**
 * Share of the time between SIGTERM and SIGKILL after which a planned stop ends running requests. The stop
 * ends in the last sixth of that time.
 */
const STOP_GRACE_SHARE = 0.87;

export async function startSidecar(settings: SidecarSettings, dependencies: SidecarDependencies): Promise<Sidecar> {
    const sidecar = new RunningSidecar(settings, dependencies);
    await sidecar.start();
    return sidecar;
}

class RunningSidecar implements Sidecar {
    #settings: SidecarSettings;
    readonly #dependencies: SidecarDependencies;
    readonly #log: PartLogger;
    readonly #admission: AdmissionController;
    readonly #sessions: SessionManager;
    readonly #memberRegistry: MemberRegistry;
    readonly #memberGossip: MemberGossip;
    readonly #sessionSelector: SessionSelector;
    readonly #serverDirectory: ServerDirectory;
    readonly #configurationManager: ConfigurationManager;
    readonly #callerListener: CallerListener;
    readonly #quarantine: QuarantineManager;
    readonly #quarantineArchive: QuarantineArchive;
    readonly #uplink: UplinkSender;
    readonly #costlyReads: CostlyReads;
    readonly #delays: DelayMonitor;
    readonly #overload: OverloadMonitor;
    readonly #metrics = createRequestMetrics();
    readonly #tenantMetrics = new TenantMetrics();
    readonly #retryBudgets: RetryBudgets;
    readonly #hedging: HedgeManager;
    readonly #ageClock: AgeClock;
    readonly #lag = new VersionLag();
    readonly #decisionAges: DecisionAges;
    readonly #quotas: QuotaManager | undefined;
    readonly #routeQueries: RouteQueries;
    readonly #routeResolver: RouteResolver;
    readonly #endpoints: Server[] = [];
    #isStopping = false;
    readonly #memberRemoval: MemberRemoval;
    readonly #isolation = new Isolation();
    readonly #rollouts: RolloutManager | undefined;
    #sessionTimer: NodeJS.Timeout | undefined;
    #updatedAt = 0;
    readonly #usedServices = new UsedServices();
    /** Generation of the member table for which the configuration knows the daemons of the region. */
    #regionGeneration = -1;

    constructor(settings: SidecarSettings, dependencies: SidecarDependencies) {
        this.#settings = settings;
        this.#dependencies = dependencies;
        const { createPartLogger, now, random } = dependencies;
        const linkBytesPerMs = computeLinkRate(settings);
        this.#uplink = createUplink(linkBytesPerMs, now, bytes => this.#admission.recordSmallLinkUse(bytes));
        this.#log = createPartLogger("daemon");
        this.#delays = new DelayMonitor(this.#log, () => this.#sessions.countBufferedBytes());
        this.#overload = new OverloadMonitor({
            log: this.#log,
            now,
            onChange: () => this.#sessions.announceLoad(),
            readUtilization: dependencies.readUtilization,
            timers: realTimers,
        });
        this.#ageClock = new AgeClock({
            now,
            onLost: ms => this.#delays.recordLostTime(ms),
            readWallClock: dependencies.readWallClock,
        });
        this.#quotas = createQuotas({
            ageClock: this.#ageClock,
            createPartLogger,
            now,
            random,
            readConfiguration: () => this.#configurationManager,
            readRegistry: () => this.#memberRegistry,
            readSessions: () => this.#sessions,
            settings,
        });
        const self = buildMember(settings, dependencies.readWallClock());
        this.#quarantine = new QuarantineManager({
            deleteQuarantine: fingerprint => void this.#quarantineArchive.delete(fingerprint),
            listConnected: () => this.#sessions.listConnected(now()),
            listNeighbours: () => this.#sessionSelector.neighbours,
            log: createPartLogger("quarantine"),
            now,
            selfId: settings.id,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            writeQuarantine: verdict => void this.#quarantineArchive.write(verdict),
        });
        this.#quarantineArchive = new QuarantineArchive({
            log: createPartLogger("quarantine"),
            now,
            random,
            readWallClock: dependencies.readWallClock,
            restore: (fingerprint, crashIds, at) => this.#quarantine.restore(fingerprint, crashIds, at),
            store: dependencies.store,
        });
        this.#costlyReads = new CostlyReads(createPartLogger("input"), now);
        this.#admission = new AdmissionController({
            confirmation: settings.isFirstStart ? undefined : {
                checkHealth: (server, path) => checkHealth(dependencies.dialect, server, path),
                log: createPartLogger("gate"),
                random,
                readHealthPath: service => this.#configurationManager.configuration?.services.get(service)?.healthPath,
            },
            costlyReads: this.#costlyReads,
            dialect: dependencies.dialect,
            findRestriction: request =>
                findOutdatedRefusal(request, this.#configurationManager.configuration, this.#log)
                    ?? this.#quarantine.findRestriction(request),
            findTrial: request => {
                const suspicion = this.#quarantine.findSuspicion(request);
                return suspicion?.isOnTrial === true ? suspicion.fingerprint : undefined;
            },
            linkBytesPerMs,
            log: createPartLogger("gate"),
            now,
            onAnswered: request => this.#quarantine.recordCompletion(request),
            findRolloutGate: () => this.#rollouts?.gate,
            onCrash: ({ serverId, startedAt }, requests, crashedAt) =>
                this.#quarantine.recordCrash(`${serverId}/${startedAt ?? ""}`, requests, crashedAt),
            onChange: load => {
                this.#serverDirectory.recordLoad(settings.id, load);
                this.#sessions.announceLoad();
            },
        });
        this.#memberRegistry = new MemberRegistry({
            firstListingDelayMs: settings.firstListingDelayMs,
            isFirstStart: settings.isFirstStart,
            log: createPartLogger("members"),
            onMemberLeft: member => this.#serverDirectory.removeMember(member),
            onMemberRemoved: member => {
                this.#lag.removePeer(member.id);
                this.#sessions.disconnect(member.id, "the daemon is gone");
                this.#serverDirectory.removeMember(member);
            },
            onMemberUpdated: member => this.#addMember(member),
            onRegistered: () => this.#updateSessions(),
            random,
            self,
            store: dependencies.store,
            timers: realTimers,
        });
        this.#sessions = new SessionManager({
            ageClock: this.#ageClock,
            createSessionId: dependencies.createSessionId,
            isNeighbour: id => this.#sessionSelector.neighbours.has(id),
            log: createPartLogger("sessions"),
            network: dependencies.network,
            now,
            onStatus: status => {
                this.#configurationManager.recordStatus(status);
                this.#memberGossip.compareDigest(status.id, status.membersDigest);
            },
            onEnded: id => {
                this.#configurationManager.recordEnd(id);
                this.#rollouts?.recordEnd(id);
            },
            onVersion: (id, version) => this.#configurationManager.recordVersion(id, version),
            onConnected: id => {
                this.#quarantine.sendAll(id);
                this.#rollouts?.sendAll(id);
            },
            onGossip: (id, message, transitMs) => dispatchGossip(this.#listGossipParts(), id, message, transitMs),
            onLoad: (id, load) => this.#serverDirectory.recordLoad(id, load),
            onMembers: members => this.#memberGossip.announce(this.#memberRegistry.merge(members)),
            onServerIdentity: server => {
                if (server.service === settings.service) {
                    this.#admission.restoreServer(server);
                }
            },
            onRoundTrip: (id, ms) => {
                this.#delays.recordRoundTrip(id, ms, now());
                this.#configurationManager.lease.recordRoundTrip(ms, this.#ageClock.now());
                this.#serverDirectory.recordRoundTrip(id, ms);
            },
            random,
            readStatus: () => this.#readStatus(),
            readVersion: () => this.#lag.own,
            readLoad: () => ({ ...this.#admission.readLoad(), processorDelayMs: this.#overload.estimateDelayMs() }),
            readServerIdentity: () => this.#admission.readServerIdentity(),
            readSelf: () => this.#memberRegistry.self,
            submit: (request, events) => (this.#rollouts?.gate ?? this.#admission).submit(request, events),
            timers: realTimers,
            uplink: this.#uplink,
        });
        this.#memberGossip = new MemberGossip({
            listReceivers: () => this.#sessionSelector.neighbours,
            log: createPartLogger("members"),
            merge: members => this.#memberRegistry.merge(members),
            now,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            table: this.#memberRegistry.table,
            timers: realTimers,
        });
        this.#memberRemoval = new MemberRemoval({
            isIsolated: () => this.#listReachable().length === 0,
            now,
            remove: member => void this.#memberRegistry.remove(member, this.#configurationManager.isWatching),
            sessions: this.#sessions,
        });
        this.#rollouts = createRollouts(settings, {
            admission: this.#admission,
            announceLoad: () => this.#sessions.announceLoad(),
            listConnected: () => this.#sessions.listConnected(now()),
            listNeighbours: () => this.#sessionSelector.neighbours,
            log: createPartLogger("rollouts"),
            memberRegistry: this.#memberRegistry,
            now: this.#ageClock.now,
            random,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            store: dependencies.store,
        });
        this.#sessionSelector = new SessionSelector({
            rollouts: this.#rollouts,
            listExtra: isExcluded => this.#quotas?.listWanted(isExcluded) ?? [],
            listServices: () => this.#usedServices.list(this.#configurationManager.configuration),
            log: createPartLogger("sessions"),
            now,
            readSelf: () => this.#memberRegistry.self,
            sessions: this.#sessions,
            table: this.#memberRegistry.table,
        });
        const requestLog = createPartLogger("requests");
        this.#serverDirectory = new ServerDirectory({
            admission: {
                readLoad: () => this.#admission.readLoad(),
                submit: (request, events) => (this.#rollouts?.gate ?? this.#admission).submit(request, events),
            },
            rollouts: this.#rollouts?.caller,
            sessions: this.#sessions,
            now,
            onEject: (id, service) => {
                requestLog.warn(`server of ${id} is ejected for its failures.`, { id, service });
                this.#metrics.count({ class: undefined, kind: "ejected", reason: "failures", service });
            },
            self,
        });
        this.#configurationManager = new ConfigurationManager({
            countDaemons: () => this.#memberRegistry.list().length,
            limits: deriveVersionLimits(settings),
            linkBytesPerMs,
            decode: dependencies.decodeConfiguration,
            lag: this.#lag,
            listReachable: () => this.#listReachable(),
            log: createPartLogger("configuration"),
            now: this.#ageClock.now,
            onChange: configuration => {
                this.#callerListener.applyConfiguration(configuration);
                this.#quotas?.applyTenants();
                this.#announceStatus();
            },
            isRegistered: () => this.#memberRegistry.isRegistered,
            onStoreRead: era => void this.#memberRegistry.recordEra(era),
            onConfirmed: watcherIds => this.#sendStatus(watcherIds),
            onWatchChanged: () => this.#announceStatus(),
            isSameRegion: id => this.#memberRegistry.get(id)?.region === settings.region,
            random,
            readReceivedBytes: () => this.#uplink.traffic.receivedBytes,
            requestConfiguration: (id, baseChecksum) =>
                this.#sessions.sendGossip(id, { baseChecksum, kind: "configurationRequest" }),
            requestStatus: id => this.#sessions.requestStatus(id),
            sendConfiguration: (id, configuration) =>
                this.#sessions.sendGossip(id, { ...configuration, kind: "configuration" }),
            sendDifference: (id, difference) =>
                this.#sessions.sendGossip(id, { ...difference, kind: "configurationDifference" }),
            selfId: settings.id,
            store: dependencies.store,
            timers: realTimers,
        });
        this.#decisionAges = new DecisionAges(settings.configurationDeadlineMs);
        this.#routeQueries = new RouteQueries({
            onUnanswered: id => this.#lag.recordUnanswered(id, this.#ageClock.now()),
            readConfiguration: () => this.#configurationManager.configuration,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            timers: realTimers,
        });
        this.#routeResolver = new RouteResolver({
            ages: this.#decisionAges,
            lag: this.#lag,
            lease: this.#configurationManager.lease,
            listReachable: () => this.#listReachable(),
            log: createPartLogger("configuration"),
            now: this.#ageClock.now,
            queries: this.#routeQueries,
            random,
            readConfiguration: () => this.#configurationManager.configuration,
            revocationDeadlineMs: settings.revocationDeadlineMs,
        });
        this.#retryBudgets = new RetryBudgets({
            countDaemons: () => this.#memberRegistry.isRegistered ? this.#memberRegistry.list().length : undefined,
            now,
            onExhausted: service =>
                this.#metrics.count({ class: undefined, kind: "refused", reason: "repeat-budget", service }),
            readSettings: () => this.#settings,
        });
        this.#hedging = new HedgeManager({
            directory: this.#serverDirectory,
            log: requestLog,
            now,
            random,
            readSettings: () => ({
                excludedRoutes: this.#settings.hedgeExcludedRoutes,
                minimumDelayMs: this.#settings.hedgeMinimumDelayMs,
                share: this.#settings.hedgeShare,
            }),
            takeHedge: service => this.#retryBudgets.takeHedge(service),
        });
        this.#callerListener = new CallerListener({
            costlyReads: this.#costlyReads,
            dialect: dependencies.dialect,
            directory: this.#serverDirectory,
            findRunning: requestId => this.#admission.findRunning(requestId),
            findRestriction: request => this.#quarantine.findRestriction(request),
            findSuspicion: request => this.#quarantine.findSuspicion(request),
            hedging: this.#hedging,
            log: requestLog,
            now,
            random,
            readCallerService: () => settings.service,
            readConfiguration: () => this.#configurationManager.configuration,
            recorder: combineRecorders([this.#metrics, this.#tenantMetrics, createAccessLog(requestLog)]),
            recordRequest: (service, isNested) => {
                this.#usedServices.add(service);
                if (!isNested) {
                    this.#retryBudgets.recordRequest(service);
                }
            },
            recordOutdated: version => this.#lag.requireVersion(version + 1, this.#ageClock.now()),
            recordRetry: service => this.#retryBudgets.recordRetry(service),
            rollouts: this.#rollouts?.caller,
            selfId: settings.id,
            recordRelayedAnswer: bytes => this.#admission.recordLinkUse(bytes),
            resolveRoute: question => this.#routeResolver.resolveRoute(question),
            takeQuota: tenant => this.#quotas?.take(tenant, this.#ageClock.now()),
            takeRetry: service => this.#retryBudgets.takeRetry(service),
            timers: realTimers,
            tryReset: requestId => this.#overload.tryReset(requestId),
            uplink: this.#uplink,
            widen: service => this.#sessionSelector.widen(service),
        });
    }

    async start(): Promise<void> {
        const { callerAddress, metricsAddress, peerAddress, readyAddress, reportAddress } = this.#settings;
        await this.#sessions.start(peerAddress.host, peerAddress.port);
        await this.#callerListener.listen(callerAddress.host, callerAddress.port);
        const { answerReady, now, readWallClock } = this.#dependencies;
        const answerReports = this.#dependencies.answerReports(
            this.#admission,
            this.#log,
            this.#settings.service,
            readWallClock,
        );
        const open = async (address: HostAndPort, handle: EndpointHandler): Promise<void> => {
            this.#endpoints.push(await openEndpoint(address, handle, this.#costlyReads, now));
        };
        await open(reportAddress, answerReports);
        await open(readyAddress, call => answerReady(this.#isReady())(call));
        const listTenants = () => listReportedTenants(this.#configurationManager.configuration, this.#tenantMetrics);
        if (metricsAddress !== undefined) {
            const renderMetrics = (): string => this.#renderMetrics();
            await open(
                metricsAddress,
                answerOperator(this.#quarantine, this.#quotas, renderMetrics, now, listTenants, this.#rollouts),
            );
        }
        this.#configurationManager.start();
        this.#overload.start();
        this.#quarantine.start();
        this.#quotas?.start();
        if (!this.#settings.isFirstStart) {
            void this.#quarantineArchive.load();
        }
        void this.#memberRegistry.register();
        this.#memberRemoval.start();
        this.#rollouts?.start();
        this.#updatedAt = this.#dependencies.now();
        this.#sessionTimer = setInterval(() => {
            const now = this.#dependencies.now();
            this.#delays.recordTimer(now - this.#updatedAt - SESSION_UPDATE_INTERVAL_MS);
            this.#updatedAt = now;
            this.#updateSessions();
        }, SESSION_UPDATE_INTERVAL_MS);
        this.#log.info("started.", { settings: this.#settings });
    }

    async stop(): Promise<void> {
        this.#isStopping = true;
        const begin = this.#dependencies.now();
        const longestMs = this.#settings.graceMs * STOP_GRACE_SHARE;
        this.#admission.beginStop();
        this.#quotas?.end();
        this.#memberRegistry.stop();
        this.#memberGossip.announce([this.#memberRegistry.leave()]);
        this.#memberGossip.flush();
        await this.#callerListener.drain(longestMs);
        const isBusy = (): boolean => this.#admission.pendingRequests > 0 || !this.#uplink.isIdle;
        while (isBusy() && this.#dependencies.now() - begin < longestMs) {
            await new Promise(resolve => setTimeout(resolve, 20));
        }
        await this.#closePorts();
        this.#log.info("planned stop has ended.", {
            open: this.#callerListener.openRequests,
            pending: this.#admission.pendingRequests,
            tookMs: Math.round(this.#dependencies.now() - begin),
        });
    }

    reload(settings: SidecarSettings): void {
        const { followed, ignored, settings: next } = planReload(this.#settings, settings);
        this.#settings = next;
        this.#log.info("settings were reloaded.", { followed, ignored });
    }

    async closeAbruptly(): Promise<void> {
        this.#memberRegistry.stop();
        this.#callerListener.closeAbruptly();
        await this.#closePorts();
    }

    async #closePorts(): Promise<void> {
        this.#memberRemoval.stop();
        this.#rollouts?.stop();
        clearInterval(this.#sessionTimer);
        this.#memberGossip.stop();
        this.#uplink.stop();
        this.#overload.stop();
        this.#quarantine.stop();
        this.#quotas?.stop();
        this.#quarantineArchive.stop();
        this.#configurationManager.stop();
        await this.#sessions.stop();
        this.#admission.closeAll();
        for (const server of this.#endpoints) {
            server.close();
            server.closeAllConnections();
        }
    }

    #addMember(member: Member): void {
        if (this.#sessions.getOwnerSession(member.id) !== undefined) {
            this.#sessions.connect(member);
        }
        this.#serverDirectory.addMember(member);
    }

    #readStatus(): LocalStatus {
        return {
            confirmation: this.#configurationManager.readConfirmation(),
            membersDigest: this.#memberRegistry.table.getDigest(),
            version: this.#configurationManager.configuration?.version,
            watches: this.#configurationManager.listWatches(),
        };
    }

    /** Sends the status to the neighbours and the daemons of the own failure domain, for example after a new version. */
    #announceStatus(): void {
        const { failureDomain } = this.#memberRegistry.self;
        const connected = [...this.#sessions.listConnected(this.#dependencies.now())];
        this.#sendStatus(
            connected.filter(id =>
                this.#sessionSelector.neighbours.has(id)
                || this.#memberRegistry.get(id)?.failureDomain === failureDomain
            ),
        );
    }

    /** Sends the status to those of the daemons that can be reached. */
    #sendStatus(ids: readonly string[]): void {
        const status = { ...this.#readStatus(), kind: "status", sentAt: this.#dependencies.now() } as const;
        ids.forEach(id => this.#sessions.sendGossip(id, status));
    }

    #listGossipParts(): GossipParts {
        return {
            configurationManager: this.#configurationManager,
            memberGossip: this.#memberGossip,
            quarantine: this.#quarantine,
            quotas: this.#quotas,
            rollouts: this.#rollouts,
            routeQueries: this.#routeQueries,
        };
    }

    #updateSessions(): void {
        this.#sessionSelector.update(this.#dependencies.now());
        const { self, table } = this.#memberRegistry;
        if (table.rankingGeneration !== this.#regionGeneration) {
            this.#regionGeneration = table.rankingGeneration;
            const members = this.#memberRegistry.list().filter(({ region }) => region === self.region);
            this.#configurationManager.setRegion(members);
        }
    }

    #listReachable() {
        const self = this.#memberRegistry.self;
        return [...this.#sessions.listConnected(this.#dependencies.now())].flatMap(id => {
            const member = this.#memberRegistry.get(id);
            return member === undefined ? [] : [{ distance: computeDistance(self, member), id }];
        });
    }

    /** Ready when requests can be routed, another daemon can be reached, and there is processor time for callers. */
    #isReady(): boolean {
        const hasConfiguration = this.#configurationManager.configuration !== undefined;
        if (this.#isStopping || !hasConfiguration || this.#overload.shouldAvoidCallers()) {
            return false;
        }
        const isConnected = this.#memberRegistry.list().length <= 1 || this.#listReachable().length > 0;
        return !this.#isolation.update(isConnected, this.#dependencies.now());
    }

    #renderMetrics(): string {
        return renderMetrics(
            this.#metrics,
            listGauges({
                admission: this.#admission,
                costlyReads: this.#costlyReads,
                configurationManager: this.#configurationManager,
                decisionAges: this.#decisionAges,
                countReachable: () => this.#listReachable().length,
                delays: this.#delays,
                hedging: this.#hedging,
                lag: this.#lag,
                memberRegistry: this.#memberRegistry,
                now: this.#ageClock.now,
                overload: this.#overload,
                quarantine: this.#quarantine,
                quotas: this.#quotas,
                readDroppedLines: this.#dependencies.readDroppedLines,
                rollouts: this.#rollouts,
                readStoreBytes: () => this.#dependencies.store.readReceivedBytes(),
                routeQueries: this.#routeQueries,
                routeResolver: this.#routeResolver,
                sessionSelector: this.#sessionSelector,
                sessions: this.#sessions,
                tenantMetrics: this.#tenantMetrics,
                uplink: this.#uplink,
            }),
        );
    }
}
