/** All sessions of a daemon: with the owners of other servers, and with the daemons that use its own server. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { FrameConnection } from "../../protocol/peer/index.js";
import type { GossipMessage, SessionMessage, SessionMessageOf } from "../../protocol/session/index.js";
import type { Member } from "../../state/members/index.js";
import type { PeerListener, PeerNetwork } from "../peer/index.js";
import { scheduleRepeating } from "../timers/index.js";
import { CallerSession } from "./CallerSession.js";
import { consumeFrames } from "./ConsumeFrames.js";
import { addTransit } from "./HandleGossip.js";
import { recordReceived } from "./MessageTraffic.js";
import { OwnerSession } from "./OwnerSession.js";
import {
    FEW_SESSIONS,
    MAXIMUM_PING_INTERVAL_MS,
    MAXIMUM_PINGS_PER_SECOND,
    MINIMUM_PING_INTERVAL_MS,
    NEIGHBOUR_PING_INTERVAL_MS,
    SESSION_RETENTION_MS,
    SESSION_TICK_MS,
} from "./SessionConstants.js";
import type { SessionDependencies } from "./SessionTypes.js";

const MS_PER_SECOND = 1_000;

export interface SessionManagerOptions extends SessionDependencies {
    readonly network: PeerNetwork;
    readonly createSessionId: () => string;
    isNeighbour(id: string): boolean;
    onLoad(id: string, load: OwnerLoad): void;
    onRoundTrip(id: string, ms: number): void;
    /** Called when the process of another daemon has ended. */
    onEnded(id: string): void;
}

export class SessionManager {
    readonly #options: SessionManagerOptions;
    readonly #ownerSessions = new Map<string, OwnerSession>();
    readonly #callerSessions = new Map<string, CallerSession>();
    #listener: PeerListener | undefined;
    #stopTicks: () => void = () => undefined;

    constructor(options: SessionManagerOptions) {
        this.#options = options;
    }

    /** Number of requests of other daemons in flight. */
    get pendingCallerRequests(): number {
        return [...this.#callerSessions.values()].reduce((sum, session) => sum + session.pendingRequests, 0);
    }

    /** Starts to listen and to send pings. */
    async start(address: string, port: number): Promise<void> {
        this.#listener = await this.#options.network.listen(address, port, connection => {
            this.#acceptConnection(connection).catch((error: unknown) => {
                this.#options.log.warn(`connection closed: ${(error as Error).message}.`);
            });
        });
        this.#scheduleTicks();
    }

    /** Opens a session with the daemon of a record, or updates its session after a change. */
    connect(member: Member): void {
        const session = this.#ownerSessions.get(member.id);
        if (session === undefined) {
            this.#ownerSessions.set(
                member.id,
                new OwnerSession(member, {
                    ...this.#options,
                    readPingIntervalMs: id => this.#computePingIntervalMs(id),
                }),
            );
        }
        else if (
            session.member.incarnation !== member.incarnation || session.member.address !== member.address
        ) {
            session.updateMember(member);
        }
    }

    /** Closes the session with a daemon. */
    disconnect(id: string, detail: string): void {
        this.#ownerSessions.get(id)?.close(detail);
        this.#ownerSessions.delete(id);
    }

    getOwnerSession(id: string): OwnerSession | undefined {
        return this.#ownerSessions.get(id);
    }

    listOwnerSessions(): IterableIterator<OwnerSession> {
        return this.#ownerSessions.values();
    }

    /** Bytes that wait in the connections of all sessions, since a link or the other daemon is slow. */
    countBufferedBytes(): number {
        let bytes = 0;
        for (const session of [...this.#ownerSessions.values(), ...this.#callerSessions.values()]) {
            bytes += session.bufferedBytes;
        }
        return bytes;
    }

    /** Sends the load to the daemons that use the own server, without waiting for their next pings. */
    announceLoad(): void {
        for (const session of this.#callerSessions.values()) {
            session.sendLoad();
        }
    }

    /** Sends a message to another daemon over a session of either side; it is lost when there is none. */
    sendGossip(id: string, message: GossipMessage): void {
        const session = this.#ownerSessions.get(id);
        if (session?.isUsable(this.#options.now()) === true) {
            session.sendGossip(message);
            return;
        }
        for (const callerSession of this.#callerSessions.values()) {
            if (callerSession.peerId === id) {
                callerSession.sendGossip(message);
            }
        }
    }

    /** Asks another daemon for its status, over a session that this daemon has opened; false when there is none. */
    requestStatus(id: string): boolean {
        return this.#ownerSessions.get(id)?.requestStatus(this.#options.now()) === true;
    }

    /** Lists the daemons with a connection, whichever side has opened it. */
    listConnected(now: number): ReadonlySet<string> {
        const ids = new Set<string>();
        for (const session of this.#ownerSessions.values()) {
            if (session.isUsable(now)) {
                ids.add(session.member.id);
            }
        }
        for (const session of this.#callerSessions.values()) {
            if (session.disconnectedAt === undefined) {
                ids.add(session.peerId);
            }
        }
        return ids;
    }

    async stop(): Promise<void> {
        this.#stopTicks();
        for (const session of this.#ownerSessions.values()) {
            session.close("this daemon stops");
        }
        for (const session of this.#callerSessions.values()) {
            session.close();
        }
        await this.#listener?.close();
    }

    #computePingIntervalMs(id: string): number {
        if (this.#ownerSessions.size <= FEW_SESSIONS) {
            return MINIMUM_PING_INTERVAL_MS;
        }
        return Math.min(
            this.#options.isNeighbour(id) ? NEIGHBOUR_PING_INTERVAL_MS : MAXIMUM_PING_INTERVAL_MS,
            Math.max(MINIMUM_PING_INTERVAL_MS, this.#ownerSessions.size * MS_PER_SECOND / MAXIMUM_PINGS_PER_SECOND),
        );
    }

    #scheduleTicks(): void {
        // An error of one session doesn't end the pings of all: the next tick is scheduled first.
        this.#stopTicks = scheduleRepeating(this.#options.timers, () => SESSION_TICK_MS, SESSION_TICK_MS, () => {
            const now = this.#options.now();
            for (const session of this.#ownerSessions.values()) {
                session.tick(now);
            }
            for (const [id, session] of this.#callerSessions) {
                if (session.disconnectedAt !== undefined && now - session.disconnectedAt > SESSION_RETENTION_MS) {
                    this.#callerSessions.delete(id);
                    session.close();
                }
            }
        });
    }

    async #acceptConnection(connection: FrameConnection): Promise<void> {
        let session: CallerSession | undefined;
        const handle = (message: SessionMessage, bytes: number): void => {
            recordReceived(this.#options.uplink, message.kind, bytes);
            if (session !== undefined) {
                session.handle(connection, message, bytes);
            }
            else if (message.kind === "hello") {
                this.#options.onMembers([message.member]);
                if (message.target === this.#options.readSelf().id) {
                    session = this.#openSession(connection, message);
                }
                else {
                    this.#options.log.info(`connection for ${message.target} closed: this daemon has another id.`, {
                        peer: message.member.id,
                    });
                    connection.close();
                }
            }
            else {
                connection.close();
            }
        };
        try {
            await consumeFrames(connection, handle);
        }
        catch (error) {
            // The session is closed too: it would receive the malformed message again on each connection.
            this.#closeSession(session);
            throw error;
        }
        finally {
            session?.detach(connection);
        }
    }

    #closeSession(session: CallerSession | undefined): void {
        for (const [id, other] of this.#callerSessions) {
            if (other === session) {
                this.#callerSessions.delete(id);
                session.close();
            }
        }
    }

    #openSession(connection: FrameConnection, hello: SessionMessageOf<"hello">): CallerSession {
        const existing = this.#callerSessions.get(hello.sessionId);
        const session = existing ?? new CallerSession(hello.member.id, this.#options);
        if (existing === undefined) {
            this.#closeEarlierSessions(hello);
            this.#callerSessions.set(hello.sessionId, session);
        }
        if (!session.attach(connection, hello, existing !== undefined)) {
            this.#callerSessions.delete(hello.sessionId);
            session.close();
        }
        else {
            this.#options.onConnected(hello.member.id);
        }
        this.#options.onStatus({ ...addTransit(hello, Infinity), id: hello.member.id });
        if (hello.server !== undefined) {
            this.#options.onServerIdentity(hello.server);
        }
        // The other daemon is up, so there is no need to wait for the backoff.
        this.#ownerSessions.get(hello.member.id)?.reconnect();
        return session;
    }

    /** Closes the earlier sessions of a daemon, which it abandoned when it opened a new one. */
    #closeEarlierSessions(hello: SessionMessageOf<"hello">): void {
        for (const [id, session] of this.#callerSessions) {
            if (session.peerId === hello.member.id && id !== hello.sessionId) {
                this.#callerSessions.delete(id);
                session.close();
            }
        }
    }
}
