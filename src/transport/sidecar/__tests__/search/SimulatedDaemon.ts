/** A daemon with the parts that decide on versions, on a simulated clock, network and store. */
import { Right } from "purify-ts/Either";
import { DecisionAges, VersionLag } from "../../../../coordination/distribution/index.js";
import type { FreshnessLimits } from "../../../../coordination/distribution/index.js";
import type { Member } from "../../../../state/members/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { MeshStorePort } from "../../../../state/store/index.js";
import { findRoute } from "../../../../state/traffic/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { ConfigurationManager, MemberGossip, MemberRegistry } from "../../../directory/index.js";
import type { PartLogger } from "../../../logging/index.js";
import type { PeerNetwork } from "../../../peer/index.js";
import { findOutdatedRefusal, RouteQueries, RouteResolver } from "../../../routes/index.js";
import type { RouteDecision, RouteQuestion } from "../../../routes/index.js";
import { SessionManager } from "../../../sessions/index.js";
import type { LocalStatus } from "../../../sessions/index.js";
import { AgeClock, scheduleRepeating } from "../../../timers/index.js";
import { computeDistance, ServerDirectory } from "../../../traffic/index.js";
import { UplinkSender } from "../../../uplink/index.js";
import { SessionSelector } from "../../SessionSelector.js";
import { FIRST_LISTING_DELAY_MS } from "./History.js";
import { SimulatedCallers } from "./SimulatedCallers.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";
import { SimulatedServer } from "./SimulatedServer.js";

const SESSION_UPDATE_INTERVAL_MS = 250;
/** Link of a weak VM, 6 Mbit/s. */
const LINK_BYTES_PER_MS = 750;

/** Repairs that a run leaves out, to show that the search finds what they repair. */
export interface Variant {
    readonly limits: FreshnessLimits;
    /** A daemon decides by its own version, whatever it knows of others. */
    readonly decidesAlone: boolean;
    /** Daemons run what an older version than theirs has led to their servers. */
    readonly runsOutdated: boolean;
    /** Links are full for the daemons' own large answers, so that it is no excuse that messages wait behind these. */
    readonly fillsLinks: boolean;
}

/** What a daemon tells of the requests of its callers and of those that its server runs. */
export interface RequestObserver {
    /** `confirmedAgeMs` is undefined while the age of the version that has decided isn't known. */
    onDecided(requestId: string, confirmedAgeMs: number | undefined): void;
    onRun(requestId: string, version: number): void;
    /** `version` is the one that has decided; undefined when none has. */
    onAnswered(requestId: string, status: number, version: number | undefined): void;
}

export interface SimulatedDaemonOptions {
    readonly self: Member;
    readonly process: SimulatedProcess;
    readonly network: PeerNetwork;
    readonly store: MeshStorePort;
    readonly log: PartLogger;
    readonly random: Random;
    readonly variant: Variant;
    readonly createSessionId: () => string;
    readonly decode: (text: string) => TrafficConfiguration;
    readonly isFirstStart: boolean;
    readonly deadlineMs: number;
    losesCopies(): boolean;
    readonly observer: RequestObserver;
}

export class SimulatedDaemon {
    readonly id: string;
    readonly #options: SimulatedDaemonOptions;
    readonly #registry: MemberRegistry;
    readonly #ages: DecisionAges;
    readonly #lag = new VersionLag();
    readonly #readAgeTime: () => number;
    readonly #sessions: SessionManager;
    readonly #selector: SessionSelector;
    readonly #gossip: MemberGossip;
    readonly #configuration: ConfigurationManager;
    readonly #queries: RouteQueries;
    readonly #resolver: RouteResolver;
    readonly #server: SimulatedServer;
    readonly #directory: ServerDirectory;
    readonly #callers: SimulatedCallers;
    readonly #uplink: UplinkSender;
    #regionGeneration = -1;

    constructor(options: SimulatedDaemonOptions) {
        this.#options = options;
        const { decode, log, network, process, random, self, store, variant } = options;
        const { now, readWallClock, timers } = process;
        const ageClock = new AgeClock({
            now,
            onLost: ms => log.warn("the steady clock has not counted some time.", { ms: Math.round(ms) }),
            readWallClock,
        });
        this.#readAgeTime = ageClock.now;
        this.#uplink = new UplinkSender(undefined, now);
        this.id = self.id;
        this.#ages = new DecisionAges(options.deadlineMs);
        this.#registry = new MemberRegistry({
            firstListingDelayMs: FIRST_LISTING_DELAY_MS,
            isFirstStart: options.isFirstStart,
            log,
            onMemberLeft: member => this.#directory.removeMember(member),
            onMemberRemoved: member => {
                this.#lag.removePeer(member.id);
                this.#sessions.disconnect(member.id, "the daemon is gone");
                this.#directory.removeMember(member);
            },
            onMemberUpdated: member => {
                if (this.#sessions.getOwnerSession(member.id) !== undefined) {
                    this.#sessions.connect(member);
                }
                this.#directory.addMember(member);
            },
            onRegistered: () => this.#updateSessions(),
            random,
            self,
            store,
            timers,
        });
        this.#server = new SimulatedServer({
            findRestriction: request =>
                variant.runsOutdated ? undefined : findOutdatedRefusal(request, this.#configuration.configuration, log),
            onChange: load => {
                this.#directory.recordLoad(self.id, load);
                this.#sessions.announceLoad();
            },
            onRun: ({ requestId, version }) => options.observer.onRun(requestId, version),
            random,
            service: self.server?.service ?? "",
            timers,
        });
        this.#sessions = new SessionManager({
            ageClock,
            createSessionId: options.createSessionId,
            isNeighbour: id => this.#selector.neighbours.has(id),
            log,
            network,
            now,
            onConnected: () => undefined,
            onEnded: id => this.#configuration.recordEnd(id),
            onGossip: (id, message) => {
                switch (message.kind) {
                    case "configuration":
                        if (!options.losesCopies()) {
                            this.#configuration.applyCompressed(message, id);
                        }
                        return;
                    case "configurationDifference":
                        if (!options.losesCopies()) {
                            this.#configuration.applyDifference(message, id);
                        }
                        return;
                    case "configurationRequest":
                        this.#configuration.answerRequest(id, message.baseChecksum);
                        return;
                    case "routeAnswer":
                        this.#queries.handleAnswer(id, message);
                        return;
                    case "routeQuery":
                        this.#queries.answerQuery(id, message);
                        return;
                    case "crashes":
                    case "quotaDemand":
                    case "quotaGrant":
                    case "rolloutReports":
                        return;
                    default:
                        this.#gossip.handle(id, message);
                }
            },
            onLoad: (id, load) => this.#directory.recordLoad(id, load),
            onMembers: members => this.#gossip.announce(this.#registry.merge(members)),
            onRoundTrip: (id, ms) => {
                this.#configuration.lease.recordRoundTrip(ms, ageClock.now());
                this.#directory.recordRoundTrip(id, ms);
            },
            onServerIdentity: () => undefined,
            onStatus: status => {
                this.#configuration.recordStatus(status);
                this.#gossip.compareDigest(status.id, status.membersDigest);
            },
            onVersion: (id, version) => this.#configuration.recordVersion(id, version),
            random,
            readLoad: () => this.#server.readLoad(),
            readSelf: () => this.#registry.self,
            readServerIdentity: () => undefined,
            readStatus: () => this.#readStatus(),
            readVersion: () => this.#lag.own,
            submit: (request, events) => this.#server.submit(request, events),
            timers,
            uplink: this.#uplink,
        });
        this.#gossip = new MemberGossip({
            listReceivers: () => this.#selector.neighbours,
            log,
            merge: members => this.#registry.merge(members),
            now,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            table: this.#registry.table,
            timers,
        });
        this.#selector = new SessionSelector({
            listServices: () => this.#configuration.configuration?.services.keys() ?? [],
            log,
            now,
            readSelf: () => this.#registry.self,
            sessions: this.#sessions,
            table: this.#registry.table,
        });
        this.#configuration = new ConfigurationManager({
            countDaemons: () => this.#registry.list().length,
            decode: ({ text }) => Right(decode(text)),
            isRegistered: () => this.#registry.isRegistered,
            isSameRegion: id => this.#registry.get(id)?.region === self.region,
            lag: this.#lag,
            limits: variant.limits,
            linkBytesPerMs: LINK_BYTES_PER_MS,
            listReachable: () => this.#listReachable(),
            log,
            now: ageClock.now,
            onChange: configuration => {
                this.#callers.applyConfiguration(configuration);
                this.#announceStatus();
            },
            onConfirmed: ids => this.#sendStatus(ids),
            onStoreRead: era => void this.#registry.recordEra(era),
            onWatchChanged: () => this.#announceStatus(),
            random,
            readReceivedBytes: () => this.#uplink.traffic.receivedBytes,
            requestConfiguration: (id, baseChecksum) =>
                this.#sessions.sendGossip(id, { baseChecksum, kind: "configurationRequest" }),
            requestStatus: id => this.#sessions.requestStatus(id),
            selfId: self.id,
            sendConfiguration: (id, configuration) =>
                this.#sessions.sendGossip(id, { ...configuration, kind: "configuration" }),
            sendDifference: (id, difference) =>
                this.#sessions.sendGossip(id, { ...difference, kind: "configurationDifference" }),
            store,
            timers,
        });
        this.#queries = new RouteQueries({
            onUnanswered: id => this.#lag.recordUnanswered(id, ageClock.now()),
            readConfiguration: () => this.#configuration.configuration,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            timers,
        });
        this.#resolver = new RouteResolver({
            ages: this.#ages,
            lag: this.#lag,
            lease: this.#configuration.lease,
            listReachable: () => this.#listReachable(),
            log,
            now: ageClock.now,
            queries: this.#queries,
            random,
            readConfiguration: () => this.#configuration.configuration,
        });
        this.#directory = new ServerDirectory({
            admission: this.#server,
            now,
            onEject: () => undefined,
            self,
            sessions: this.#sessions,
        });
        this.#callers = new SimulatedCallers({
            directory: this.#directory,
            log,
            now,
            onAnswered: (requestId, status, version) => options.observer.onAnswered(requestId, status, version),
            random,
            readConfiguration: () => this.#configuration.configuration,
            recordOutdated: version => this.#lag.requireVersion(version + 1, ageClock.now()),
            resolveRoute: question => this.#resolveRoute(question),
            selfId: self.id,
            service: self.server?.service ?? "",
            timers,
            widen: service => this.#selector.widen(service),
        });
    }

    get version(): number | undefined {
        return this.#lag.own;
    }

    /** Newest version that is known to be in force at a daemon that answers queries. */
    get newestBelieved(): number {
        return this.#lag.readNewestBelieved(this.#readAgeTime());
    }

    get isRegistered(): boolean {
        return this.#registry.isRegistered;
    }

    /** Whether the daemon knows that another one is there. */
    hasMember(id: string): boolean {
        return this.#registry.list().some(member => member.id === id);
    }

    get isWatching(): boolean {
        return this.#configuration.isWatching;
    }

    async start(): Promise<void> {
        const { self } = this.#options;
        await this.#sessions.start(self.address, self.peerPort);
        this.#configuration.start();
        void this.#registry.register();
        const { timers } = this.#options.process;
        scheduleRepeating(
            timers,
            () => SESSION_UPDATE_INTERVAL_MS,
            SESSION_UPDATE_INTERVAL_MS,
            () => this.#updateSessions(),
        );
    }

    /** Announces that this daemon leaves; its server takes no further requests. */
    leave(): void {
        this.#server.close();
        this.#registry.stop();
        this.#gossip.announce([this.#registry.leave()]);
        this.#gossip.flush();
    }

    /** Handles a request of a caller on this VM. */
    handleRequest(requestId: string, path: string): void {
        this.#callers.send(requestId, path);
    }

    async #resolveRoute(question: RouteQuestion): Promise<RouteDecision | undefined> {
        const decision = await this.#decide(question);
        if (decision !== undefined) {
            this.#options.observer.onDecided(question.requestId, decision.confirmedAgeMs);
        }
        return decision;
    }

    #decide(question: RouteQuestion): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        const configuration = this.#configuration.configuration;
        if (!this.#options.variant.decidesAlone || configuration === undefined) {
            return this.#resolver.resolveRoute(question);
        }
        const { revision, version } = configuration;
        const route = findRoute(configuration, question.host, question.path);
        return { confirmedAgeMs: undefined, revision, route, version };
    }

    #updateSessions(): void {
        this.#selector.update(this.#options.process.now());
        const { self, table } = this.#registry;
        if (table.rankingGeneration !== this.#regionGeneration) {
            this.#regionGeneration = table.rankingGeneration;
            this.#configuration.setRegion(this.#registry.list().filter(({ region }) => region === self.region));
        }
    }

    #listReachable() {
        return [...this.#sessions.listConnected(this.#options.process.now())].flatMap(id => {
            const member = this.#registry.get(id);
            return member === undefined ? [] : [{ distance: computeDistance(this.#options.self, member), id }];
        });
    }

    #readStatus(): LocalStatus {
        return {
            confirmation: this.#configuration.readConfirmation(),
            membersDigest: this.#registry.table.getDigest(),
            version: this.#configuration.configuration?.version,
            watches: this.#configuration.listWatches(),
        };
    }

    #announceStatus(): void {
        const { failureDomain } = this.#options.self;
        this.#sendStatus(
            [...this.#sessions.listConnected(this.#options.process.now())].filter(id =>
                this.#selector.neighbours.has(id) || this.#registry.get(id)?.failureDomain === failureDomain
            ),
        );
    }

    #sendStatus(ids: readonly string[]): void {
        const status = { ...this.#readStatus(), kind: "status", sentAt: this.#options.process.now() } as const;
        ids.forEach(id => this.#sessions.sendGossip(id, status));
    }
}
