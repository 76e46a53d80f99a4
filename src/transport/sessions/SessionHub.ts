/** All sessions of a daemon: with the owners of servers that it uses, and with the daemons that use its own. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { FrameConnection } from "../../protocol/peer/index.js";
import type { SessionMessage, SessionMessageOf } from "../../protocol/session/index.js";
import type { Member } from "../../state/members/index.js";
import type { PeerListener, PeerNetwork } from "../peer/index.js";
import { CallerSession } from "./CallerSession.js";
import { consumeFrames } from "./ConsumeFrames.js";
import { OwnerSession } from "./OwnerSession.js";
import { PING_BASE_MS, PING_MAXIMUM_MS, PINGS_PER_SECOND, SESSION_KEPT_MS } from "./SessionConstants.js";
import type { SessionEffects } from "./SessionTypes.js";

const MS_PER_SECOND = 1_000;

export interface SessionHubOptions extends SessionEffects {
    readonly network: PeerNetwork;
    readonly createSessionId: () => string;
    onLoad(id: string, load: OwnerLoad): void;
    onRoundTrip(id: string, ms: number): void;
}

export class SessionHub {
    readonly #options: SessionHubOptions;
    readonly #owners = new Map<string, OwnerSession>();
    readonly #callers = new Map<string, CallerSession>();
    #listener: PeerListener | undefined;
    #timer: NodeJS.Timeout | undefined;

    constructor(options: SessionHubOptions) {
        this.#options = options;
    }

    /** Requests of other daemons that have no end yet. */
    get pendingOfCallers(): number {
        return [...this.#callers.values()].reduce((sum, session) => sum + session.pending, 0);
    }

    /** Listens and begins the signs of life. */
    async start(address: string, port: number): Promise<void> {
        this.#listener = await this.#options.network.listen(address, port, connection => {
            this.#accept(connection).catch((error: unknown) => {
                this.#options.log.warn(`connection closed: ${(error as Error).message}.`);
            });
        });
        this.#scheduleTick();
    }

    /** Opens a session with the daemon of a record, or follows its changed address. */
    connect(member: Member): void {
        const session = this.#owners.get(member.id);
        if (session === undefined) {
            this.#owners.set(
                member.id,
                new OwnerSession(member, { ...this.#options, pingMs: () => this.#computePingMs() }),
            );
        }
        else if (
            session.member.incarnation !== member.incarnation || session.member.address !== member.address
        ) {
            session.updateMember(member);
        }
    }

    /** Ends the session with a daemon that is gone. */
    disconnect(id: string): void {
        this.#owners.get(id)?.close("the daemon is gone");
        this.#owners.delete(id);
    }

    getOwner(id: string): OwnerSession | undefined {
        return this.#owners.get(id);
    }

    listOwners(): IterableIterator<OwnerSession> {
        return this.#owners.values();
    }

    /** Tells the daemons that use the own server of a change that they should not wait for. */
    announceLoad(): void {
        for (const session of this.#callers.values()) {
            session.sendLoad();
        }
    }

    /** Tells the others at once that this daemon has a new version. */
    announceCondition(): void {
        const now = this.#options.now();
        for (const session of this.#owners.values()) {
            session.sendPing(now);
        }
    }

    async stop(): Promise<void> {
        clearTimeout(this.#timer);
        for (const session of this.#owners.values()) {
            session.close("this daemon stops");
        }
        for (const session of this.#callers.values()) {
            session.close();
        }
        await this.#listener?.close();
    }

    #computePingMs(): number {
        return Math.min(PING_MAXIMUM_MS, Math.max(PING_BASE_MS, this.#owners.size * MS_PER_SECOND / PINGS_PER_SECOND));
    }

    #scheduleTick(): void {
        this.#timer = setTimeout(() => {
            const now = this.#options.now();
            for (const session of this.#owners.values()) {
                session.tick(now);
            }
            for (const [id, session] of this.#callers) {
                if (session.lostAt !== undefined && now - session.lostAt > SESSION_KEPT_MS) {
                    this.#callers.delete(id);
                    session.close();
                }
            }
            this.#scheduleTick();
        }, this.#computePingMs());
    }

    async #accept(connection: FrameConnection): Promise<void> {
        let session: CallerSession | undefined;
        const handle = (message: SessionMessage, bytes: number): void => {
            if (session !== undefined) {
                session.handle(connection, message, bytes);
            }
            else if (message.kind === "hello") {
                this.#options.onMembers([message.member, ...message.members]);
                if (message.target === this.#options.readSelf().id) {
                    session = this.#begin(connection, message);
                }
                else {
                    this.#options.log.info(`connection for ${message.target} closed.`, { peer: message.member.id });
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
            // The same message would come again on each connection of the session.
            this.#forget(session);
            throw error;
        }
        finally {
            session?.detach(connection);
        }
    }

    #forget(session: CallerSession | undefined): void {
        for (const [id, other] of this.#callers) {
            if (other === session) {
                this.#callers.delete(id);
                session.close();
            }
        }
    }

    #begin(connection: FrameConnection, hello: SessionMessageOf<"hello">): CallerSession {
        const known = this.#callers.get(hello.sessionId);
        const session = known ?? new CallerSession(hello.member.id, this.#options);
        if (known === undefined) {
            this.#endOthers(hello);
            this.#callers.set(hello.sessionId, session);
        }
        if (!session.attach(connection, hello, known !== undefined)) {
            this.#callers.delete(hello.sessionId);
            session.close();
        }
        this.#options.onCondition({ ...hello, id: hello.member.id });
        if (hello.server !== undefined) {
            this.#options.onServerRecalled(hello.server);
        }
        // The other daemon is up: a session that waits for its next attempt to connect need not wait.
        this.#owners.get(hello.member.id)?.redial();
        return session;
    }

    /** A daemon that begins a new session has given its earlier ones up. */
    #endOthers(hello: SessionMessageOf<"hello">): void {
        for (const [id, session] of this.#callers) {
            if (session.peerId === hello.member.id && id !== hello.sessionId) {
                this.#callers.delete(id);
                session.close();
            }
        }
    }
}
