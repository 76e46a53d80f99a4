/** A daemon with the parts that decide on versions, on a simulated clock, network and store. */
import { Right } from "purify-ts/Either";
import { VersionLag } from "../../../../coordination/distribution/index.js";
import type { FreshnessLimits } from "../../../../coordination/distribution/index.js";
import { MemberState, MemberTable } from "../../../../state/members/index.js";
import type { Member } from "../../../../state/members/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { MeshStorePort } from "../../../../state/store/index.js";
import { findRoute } from "../../../../state/traffic/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { ConfigurationManager, MemberGossip } from "../../../directory/index.js";
import type { PartLogger } from "../../../logging/index.js";
import type { PeerNetwork } from "../../../peer/index.js";
import { findOutdatedRefusal, RouteQueries, RouteResolver } from "../../../routes/index.js";
import type { RouteDecision } from "../../../routes/index.js";
import { SessionManager } from "../../../sessions/index.js";
import type { LocalStatus } from "../../../sessions/index.js";
import { computeDistance, ServerDirectory } from "../../../traffic/index.js";
import { UplinkSender } from "../../../uplink/index.js";
import { SessionSelector } from "../../SessionSelector.js";
import { SimulatedCallers } from "./SimulatedCallers.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";
import { SimulatedServer } from "./SimulatedServer.js";

const SESSION_UPDATE_INTERVAL_MS = 250;

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
    losesCopies(): boolean;
    /** Records of the daemons that are in the store. */
    listRecords(): readonly Member[];
    readonly observer: RequestObserver;
}

export class SimulatedDaemon {
    readonly id: string;
    readonly #options: SimulatedDaemonOptions;
    readonly #table = new MemberTable();
    readonly #lag = new VersionLag();
    readonly #sessions: SessionManager;
    readonly #selector: SessionSelector;
    readonly #gossip: MemberGossip;
    readonly #configuration: ConfigurationManager;
    readonly #queries: RouteQueries;
    readonly #resolver: RouteResolver;
    readonly #server: SimulatedServer;
    readonly #directory: ServerDirectory;
    readonly #callers: SimulatedCallers;
    #isRegistered = false;
    #regionGeneration = -1;

    constructor(options: SimulatedDaemonOptions) {
        this.#options = options;
        const { decode, log, network, process, random, self, store, variant } = options;
        const { now, timers } = process;
        this.id = self.id;
        this.#table.merge(self);
        this.#server = new SimulatedServer({
            findRestriction: request =>
                variant.runsOutdated ? undefined : findOutdatedRefusal(request, this.#configuration.configuration),
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
                    case "configurationRequest":
                        this.#configuration.answerRequest(id);
                        return;
                    case "routeAnswer":
                        this.#queries.handleAnswer(id, message);
                        return;
                    case "routeQuery":
                        this.#queries.answerQuery(id, message);
                        return;
                    case "crashes":
                        return;
                    default:
                        this.#gossip.handle(id, message);
                }
            },
            onLoad: (id, load) => this.#directory.recordLoad(id, load),
            onMembers: members => this.#gossip.announce(this.#merge(members)),
            onRoundTrip: (id, ms) => this.#directory.recordRoundTrip(id, ms),
            onServerIdentity: () => undefined,
            onStatus: status => {
                this.#configuration.recordStatus(status);
                this.#gossip.compareDigest(status.id, status.membersDigest);
            },
            onVersion: (id, version) => this.#configuration.recordVersion(id, version),
            random,
            readLoad: () => this.#server.readLoad(),
            readSelf: () => self,
            readServerIdentity: () => undefined,
            readStatus: () => this.#readStatus(),
            readVersion: () => this.#lag.own,
            submit: (request, events) => this.#server.submit(request, events),
            timers,
            uplink: new UplinkSender(undefined, now),
        });
        this.#gossip = new MemberGossip({
            listReceivers: () => this.#selector.neighbours,
            log,
            merge: members => this.#merge(members),
            now,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            table: this.#table,
            timers,
        });
        this.#selector = new SessionSelector({
            listServices: () => this.#configuration.configuration?.services.keys() ?? [],
            log,
            now,
            readSelf: () => self,
            sessions: this.#sessions,
            table: this.#table,
        });
        this.#configuration = new ConfigurationManager({
            countDaemons: () => this.#table.size,
            decode: ({ text }) => Right(decode(text)),
            isRegistered: () => this.#isRegistered,
            isSameRegion: id => this.#table.get(id)?.region === self.region,
            lag: this.#lag,
            limits: variant.limits,
            listReachable: () => this.#listReachable(),
            log,
            now,
            onChange: configuration => {
                this.#callers.applyConfiguration(configuration);
                this.#announceStatus();
            },
            onConfirmed: ids => this.#sendStatus(ids),
            onStoreRead: () => undefined,
            onWatchChanged: () => this.#announceStatus(),
            random,
            requestConfiguration: id => this.#sessions.sendGossip(id, { kind: "configurationRequest" }),
            selfId: self.id,
            sendConfiguration: (id, configuration) =>
                this.#sessions.sendGossip(id, { ...configuration, kind: "configuration" }),
            store,
            timers,
        });
        this.#queries = new RouteQueries({
            onUnanswered: id => this.#lag.recordUnanswered(id, now()),
            readConfiguration: () => this.#configuration.configuration,
            send: (id, message) => this.#sessions.sendGossip(id, message),
            timers,
        });
        this.#resolver = new RouteResolver({
            lag: this.#lag,
            listReachable: () => this.#listReachable(),
            log,
            now,
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
            recordOutdated: version => this.#lag.requireVersion(version + 1, now()),
            resolveRoute: (requestId, host, path) => this.#resolveRoute(requestId, host, path),
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
        return this.#lag.readNewestBelieved(this.#options.process.now());
    }

    get isWatching(): boolean {
        return this.#configuration.isWatching;
    }

    async start(listingMs: number): Promise<void> {
        const { listRecords, process: { timers }, self } = this.#options;
        await this.#sessions.start(self.address, self.peerPort);
        this.#configuration.start();
        timers.after(listingMs, () => {
            this.#gossip.announce(this.#merge(listRecords()));
            this.#isRegistered = true;
            this.#updateSessions();
        });
    }

    /** Announces that this daemon leaves; its server takes no further requests. */
    leave(): void {
        const { self } = this.#options;
        this.#server.close();
        const record = { ...self, revision: self.revision + 1, state: MemberState.Left };
        this.#table.merge(record);
        this.#gossip.announce([record]);
        this.#gossip.flush();
    }

    /** Handles a request of a caller on this VM. */
    handleRequest(requestId: string, path: string): void {
        this.#callers.send(requestId, path);
    }

    #resolveRoute(
        requestId: string,
        host: string | undefined,
        path: string,
    ): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        const configuration = this.#configuration.configuration;
        if (!this.#options.variant.decidesAlone || configuration === undefined) {
            return this.#resolver.resolveRoute(requestId, host, path);
        }
        const { revision, version } = configuration;
        return { revision, route: findRoute(configuration, host, path), version };
    }

    #merge(members: readonly Member[]): readonly Member[] {
        return members.filter(member => {
            const isNew = member.id !== this.id && this.#table.merge(member);
            if (isNew) {
                this.#applyMember(member);
            }
            return isNew;
        });
    }

    #applyMember(member: Member): void {
        if (member.state === MemberState.Left) {
            this.#directory.removeMember(member);
            return;
        }
        if (this.#sessions.getOwnerSession(member.id) !== undefined) {
            this.#sessions.connect(member);
        }
        this.#directory.addMember(member);
    }

    #updateSessions(): void {
        const { process: { now, timers }, self } = this.#options;
        timers.after(SESSION_UPDATE_INTERVAL_MS, () => this.#updateSessions());
        this.#selector.update(now());
        if (this.#table.rankingGeneration !== this.#regionGeneration) {
            this.#regionGeneration = this.#table.rankingGeneration;
            this.#configuration.setRegion(
                [...this.#table.listAll()].filter(({ region, state }) =>
                    region === self.region && state === MemberState.Live
                ),
            );
        }
    }

    #listReachable() {
        return [...this.#sessions.listConnected(this.#options.process.now())].flatMap(id => {
            const member = this.#table.get(id);
            return member === undefined ? [] : [{ distance: computeDistance(this.#options.self, member), id }];
        });
    }

    #readStatus(): LocalStatus {
        return {
            confirmation: this.#configuration.readConfirmation(),
            membersDigest: this.#table.getDigest(),
            version: this.#configuration.configuration?.version,
            watches: this.#configuration.listWatches(),
        };
    }

    #announceStatus(): void {
        const { failureDomain } = this.#options.self;
        this.#sendStatus(
            [...this.#sessions.listConnected(this.#options.process.now())].filter(id =>
                this.#selector.neighbours.has(id) || this.#table.get(id)?.failureDomain === failureDomain
            ),
        );
    }

    #sendStatus(ids: readonly string[]): void {
        const status = { ...this.#readStatus(), kind: "status", sentAt: this.#options.process.now() } as const;
        ids.forEach(id => this.#sessions.sendGossip(id, status));
    }
}
