/** A daemon with the parts that decide on versions, on a simulated clock, network and store. */
import { Right } from "purify-ts/Either";
import { VersionLag } from "../../../../coordination/distribution/index.js";
import type { FreshnessLimits } from "../../../../coordination/distribution/index.js";
import { MemberState, MemberTable } from "../../../../state/members/index.js";
import type { Member } from "../../../../state/members/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { MeshStorePort } from "../../../../state/store/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../../../state/traffic/index.js";
import { ConfigurationManager, MemberGossip } from "../../../directory/index.js";
import type { PartLogger } from "../../../logging/index.js";
import type { OwnedRequest } from "../../../ownership/index.js";
import type { PeerNetwork } from "../../../peer/index.js";
import { findOutdatedRefusal, RouteQueries, RouteResolver } from "../../../routes/index.js";
import type { RouteDecision } from "../../../routes/index.js";
import { SessionManager } from "../../../sessions/index.js";
import type { LocalStatus, OwnerSession } from "../../../sessions/index.js";
import { computeDistance } from "../../../traffic/index.js";
import { UplinkSender } from "../../../uplink/index.js";
import { SessionSelector } from "../../SessionSelector.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";

export const HOST = "mesh.example";
const SESSION_UPDATE_INTERVAL_MS = 250;
/** Longest wait of a request for a slot, and most attempts to place it. */
const MAXIMUM_QUEUE_MS = 60;
const MAXIMUM_ATTEMPTS = 3;

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

/** How a request was handled, judged by the version that decided. */
export interface Handling {
    readonly path: string;
    readonly sentAt: number;
    readonly handledAt: number;
    readonly callerId: string;
    readonly ownerId: string;
    readonly version: number;
    /** Whether it ran; otherwise the version has no route for it. */
    readonly hasRun: boolean;
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
    onHandled(handling: Handling): void;
}

const LOAD = {
    coldLeftMs: 0,
    isOpen: true,
    queued: 0,
    running: 0,
    slots: 4,
    waits: { inTimeMs: 0, lateMs: 0, nestedMs: 0 },
    workMs: 1,
};

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
    #isRegistered = false;
    #regionGeneration = -1;
    #lastRequest = 0;
    #refused = 0;

    constructor(options: SimulatedDaemonOptions) {
        this.#options = options;
        const { decode, log, network, process, random, self, store, variant } = options;
        const { now, timers } = process;
        this.id = self.id;
        this.#table.merge(self);
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
            onLoad: () => undefined,
            onMembers: members => this.#gossip.announce(this.#merge(members)),
            onRoundTrip: () => undefined,
            onServerIdentity: () => undefined,
            onStatus: status => {
                this.#configuration.recordStatus(status);
                this.#gossip.compareDigest(status.id, status.membersDigest);
            },
            onVersion: (id, version) => this.#configuration.recordVersion(id, version),
            random,
            readLoad: () => LOAD,
            readSelf: () => self,
            readServerIdentity: () => undefined,
            readStatus: () => this.#readStatus(),
            readVersion: () => this.#lag.own,
            submit: (request, events) => {
                this.#execute(
                    request,
                    refusal => events.onRefused(refusal, LOAD),
                    () =>
                        events.onAnswer(
                            { headers: [], isCloseDelimited: false, queuedMs: 0, status: 200, workMs: 1 },
                            new Uint8Array(0),
                            LOAD,
                        ),
                );
                const ignore = (): void => undefined;
                return { cancel: ignore, pause: ignore, proceed: ignore, resume: ignore };
            },
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
            listServices: () => ["all"],
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
            onChange: () => this.#announceStatus(),
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
    }

    /** Requests that were refused as not run. */
    get refused(): number {
        return this.#refused;
    }

    get version(): number | undefined {
        return this.#lag.own;
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

    /** Announces that this daemon leaves. */
    leave(): void {
        const { self } = this.#options;
        const record = { ...self, revision: self.revision + 1, state: MemberState.Left };
        this.#table.merge(record);
        this.#gossip.announce([record]);
        this.#gossip.flush();
    }

    /** Handles a request of a caller on this VM that was sent at a time of the simulated clock. */
    async handleRequest(path: string, sentAt: number): Promise<void> {
        for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt++) {
            const decision = await this.#decide(path);
            if (decision === undefined) {
                break;
            }
            if (decision.route === undefined) {
                this.#report(path, sentAt, this.id, decision.version, false);
                return;
            }
            if (await this.#place(decision.route, decision.version, path, sentAt)) {
                return;
            }
            this.#lag.requireVersion(decision.version + 1, this.#options.process.now());
        }
        this.#refused++;
    }

    #decide(path: string): RouteDecision | undefined | Promise<RouteDecision | undefined> {
        const configuration = this.#configuration.configuration;
        if (configuration === undefined) {
            return undefined;
        }
        if (this.#options.variant.decidesAlone) {
            const route = configuration.routesByHost.get(HOST)?.find(({ pathPrefix }) => path.startsWith(pathPrefix));
            return { revision: configuration.revision, route, version: configuration.version };
        }
        return this.#resolver.resolveRoute("request", HOST, path);
    }

    /** Places a request here or at a daemon that responds; resolves with false when it was refused as outdated. */
    #place(route: RoutePolicy, version: number, path: string, sentAt: number): Promise<boolean> {
        const { process, random } = this.#options;
        const request: OwnedRequest = {
            body: new Uint8Array(0),
            budgetLeftMs: 2_000,
            callerService: "all",
            headers: ["host", HOST],
            isNested: false,
            isRetry: false,
            kind: RequestKind.Idempotent,
            method: "GET",
            priority: 1,
            requestId: `${this.id}/${++this.#lastRequest}/${sentAt}`,
            route: route.name,
            service: route.targets[0]?.service ?? "",
            target: path,
            targetLeftMs: 500,
            version,
        };
        const usable = [...this.#sessions.listOwnerSessions()].filter(session => session.isUsable(process.now()));
        const index = Math.floor(random() * (usable.length + 1));
        const session: OwnerSession | undefined = usable[index];
        return new Promise(resolve => {
            const end = (isPlaced: boolean): void => resolve(isPlaced);
            if (session === undefined) {
                this.#execute(request, () => end(false), () => end(true));
                return;
            }
            session.submit(request, {
                onAnswer: () => end(true),
                onAnswerAborted: () => end(true),
                onData: () => undefined,
                onDeclined: () => end(true),
                onEnd: () => end(true),
                onHead: () => undefined,
                onOffer: () => undefined,
                onOutcomeUnknown: () => end(true),
                onOwnerTimeout: () => undefined,
                onRefused: ({ reason }) => end(reason !== "outdated"),
            });
        });
    }

    /** Runs a request at the own server after its wait for a slot, unless a newer version leads it elsewhere. */
    #execute(
        request: OwnedRequest,
        refuse: (refusal: NonNullable<ReturnType<typeof findOutdatedRefusal>>) => void,
        complete: () => void,
    ): void {
        const { process: { timers }, random, variant } = this.#options;
        const findRefusal = () =>
            variant.runsOutdated ? undefined : findOutdatedRefusal(request, this.#configuration.configuration);
        const refusal = findRefusal();
        if (refusal !== undefined) {
            refuse(refusal);
            return;
        }
        timers.after(random() * MAXIMUM_QUEUE_MS, () => {
            const late = findRefusal();
            if (late !== undefined) {
                refuse(late);
                return;
            }
            const [callerId = "", , sentAt] = request.requestId.split("/");
            this.#options.onHandled({
                callerId,
                handledAt: 0,
                hasRun: true,
                ownerId: this.id,
                path: request.target,
                sentAt: Number(sentAt),
                version: Number(request.service.slice(1)),
            });
            complete();
        });
    }

    #report(path: string, sentAt: number, ownerId: string, version: number, hasRun: boolean): void {
        this.#options.onHandled({ callerId: this.id, handledAt: 0, hasRun, ownerId, path, sentAt, version });
    }

    #merge(members: readonly Member[]): readonly Member[] {
        return members.filter(member => {
            const isNew = member.id !== this.id && this.#table.merge(member);
            if (isNew && this.#sessions.getOwnerSession(member.id) !== undefined) {
                this.#sessions.connect(member);
            }
            return isNew;
        });
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
