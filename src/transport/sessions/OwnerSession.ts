/** Caller's side of a session: requests that this daemon places at the backend server of another one. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { ServerIdentity } from "../../coordination/registration/index.js";
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { MessageError } from "../../protocol/peer/index.js";
import type { FrameConnection } from "../../protocol/peer/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import { encodeSessionMessage, isGossip, isSequenced, ReliableChannel } from "../../protocol/session/index.js";
import type { GossipMessage, SessionMessage, SessionMessageOf } from "../../protocol/session/index.js";
import type { Member } from "../../state/members/index.js";
import { isRepeatable } from "../../state/traffic/index.js";
import type { OwnedRequest, RequestEvents, RequestHandle } from "../ownership/index.js";
import type { PeerNetwork } from "../peer/index.js";
import { scheduleTimeout } from "../timers/index.js";
import { consumeFrames } from "./ConsumeFrames.js";
import { addTransit, handleGossip } from "./HandleGossip.js";
import { sendLaterBody, splitLaterBody } from "./LaterBody.js";
import { recordReceived, recordSent } from "./MessageTraffic.js";
import { handleRequestMessage, isLastMessage, updateTimeLeft } from "./RequestMessages.js";
import {
    DISCONNECTED_OWNER_TICKS,
    HANDSHAKE_TIMEOUT_MS,
    PENDING_PING_INTERVAL_MS,
    PING_TIMEOUT_MS,
    PING_TIMEOUT_TICKS,
    RECONNECT_BASE_MS,
    RECONNECT_MAXIMUM_MS,
    SESSION_RETENTION_MS,
} from "./SessionConstants.js";
import type { SessionDependencies } from "./SessionTypes.js";
import { TransitBound } from "./TransitBound.js";

/** Events of a request on a session. */
export interface SessionRequestEvents extends RequestEvents {
    /** The owner does not respond; a repeatable request may be placed elsewhere as well. */
    onOwnerTimeout(): void;
}

export interface OwnerSessionOptions extends SessionDependencies {
    readonly network: PeerNetwork;
    readonly readPingIntervalMs: (id: string) => number;
    readonly createSessionId: () => string;
    onLoad(id: string, load: OwnerLoad): void;
    onRoundTrip(id: string, ms: number): void;
    /** Called when the other daemon's process has ended, also again while it is not back. */
    onEnded(id: string): void;
}

interface PendingRequest {
    readonly request: OwnedRequest;
    readonly events: SessionRequestEvents;
    readonly submittedAt: number;
    /** Whether `proceed` was sent; from then on a non-idempotent request may have reached its server. */
    hasProceeded: boolean;
    hasTimedOut: boolean;
}

const CONNECTION_REFUSED_CODE = "ECONNREFUSED";

export class OwnerSession {
    readonly #options: OwnerSessionOptions;
    #member: Member;
    #channel: ReliableChannel;
    #sessionId: string;
    #isEstablished = false;
    #connection: FrameConnection | undefined;
    readonly #pending = new Map<number, PendingRequest>();
    /** Of the present connection. */
    #transit = new TransitBound();
    #helloSentAt = -Infinity;
    #lastStream = 0;
    #lastHeardAt = -Infinity;
    #lastPingAt = -Infinity;
    /** Time of the first ping after the last message; undefined while none is unanswered. */
    #unansweredSince: number | undefined;
    /** Bytes of the present connection at the last check of an unanswered ping. */
    #receivedBytes = 0;
    /** Checks since then. */
    #unansweredTicks = 0;
    #disconnectedAt: number;
    #disconnectedTicks = 0;
    #isClosed = false;
    #isConnecting = false;
    #connectAttempts = 0;
    #cancelReconnect: () => void = () => undefined;
    #reconnectDelays: Generator<number, never>;
    #wasUnreachable = true;
    /** Last known identity of the owner's server, sent to the owner in case it has restarted. */
    #server: ServerIdentity | undefined;

    constructor(member: Member, options: OwnerSessionOptions) {
        this.#member = member;
        this.#options = options;
        this.#channel = this.#createChannel();
        this.#sessionId = options.createSessionId();
        this.#reconnectDelays = this.#createReconnectDelays();
        this.#disconnectedAt = options.now();
        void this.#connect();
    }

    get member(): Member {
        return this.#member;
    }

    get pendingRequests(): number {
        return this.#pending.size;
    }

    get bufferedBytes(): number {
        return this.#connection?.getBufferedBytes() ?? 0;
    }

    /** Whether the owner responds, so that requests placed now are expected to reach it. */
    isUsable(now: number): boolean {
        return this.#connection !== undefined && !this.#isSilent(now);
    }

    /** Time since which the owner is unreachable; undefined while it is reachable. */
    readUnreachableSince(now: number): number | undefined {
        if (this.isUsable(now)) {
            return undefined;
        }
        return this.#connection === undefined ? this.#disconnectedAt : this.#unansweredSince;
    }

    /** Applies a newer record; the next connection goes to its address. */
    updateMember(member: Member): void {
        const hasNewAddress = member.address !== this.#member.address || member.peerPort !== this.#member.peerPort;
        this.#member = member;
        if (hasNewAddress) {
            this.#connection?.close();
        }
        this.reconnect();
    }

    /** Reconnects without waiting for the backoff, for example after the other daemon has connected to this one. */
    reconnect(): void {
        if (this.#connection === undefined && !this.#isConnecting) {
            this.#reconnectDelays = this.#createReconnectDelays();
            this.#cancelReconnect();
            void this.#connect();
        }
    }

    submit(request: OwnedRequest, events: SessionRequestEvents): RequestHandle {
        const stream = ++this.#lastStream;
        const pending: PendingRequest = {
            events,
            hasProceeded: false,
            hasTimedOut: false,
            request,
            submittedAt: this.#options.now(),
        };
        this.#pending.set(stream, pending);
        const sent = splitLaterBody(request);
        this.#channel.send({ kind: "request", request: sent, stream, version: this.#options.readVersion() });
        this.#pingIfSilent(pending.submittedAt);
        return {
            cancel: () => {
                if (this.#pending.delete(stream)) {
                    this.#channel.send({ kind: "cancel", stream });
                }
            },
            isSending: () => sent !== request && !pending.hasProceeded,
            pause: () => this.#channel.send({ kind: "pause", stream }),
            proceed: () => {
                if (sent === request) {
                    this.#proceed(stream, pending);
                    return;
                }
                sendLaterBody(
                    request.body,
                    this.#options.uplink,
                    () => this.#pending.get(stream) === pending,
                    body => this.#channel.send({ body, kind: "requestData", stream }),
                    () => this.#proceed(stream, pending),
                );
            },
            resume: () => this.#channel.send({ kind: "resume", stream }),
        };
    }

    #proceed(stream: number, pending: PendingRequest): void {
        if (this.#pending.get(stream) === pending) {
            pending.hasProceeded = true;
            this.#channel.send({ kind: "proceed", stream });
        }
    }

    /** Asks for the status of the other daemon, without waiting for the next ping; false when it isn't reachable. */
    requestStatus(now: number): boolean {
        if (!this.isUsable(now)) {
            return false;
        }
        this.#sendPing(now);
        return true;
    }

    /** Sends a ping, and handles the timeouts of the connection and the session. */
    tick(now: number): void {
        if (this.#connection === undefined) {
            if (++this.#disconnectedTicks >= DISCONNECTED_OWNER_TICKS) {
                this.#handleOwnerTimeout();
            }
            if (this.#isEstablished && now - this.#disconnectedAt > SESSION_RETENTION_MS) {
                this.#resetSession("the daemon of the server can't be reached");
            }
            return;
        }
        if (this.#unansweredSince !== undefined) {
            this.#unansweredTicks++;
            this.#checkProgress(this.#connection, now);
        }
        if (this.#isSilent(now)) {
            this.#options.log.warn(`${this.#member.id} stopped responding, reconnecting.`, {
                peer: this.#member.id,
                unansweredMs: Math.round(now - (this.#unansweredSince ?? now)),
            });
            this.#handleOwnerTimeout();
            this.#connection.close();
            this.#detachConnection(this.#connection);
            return;
        }
        if (now - this.#lastPingAt >= this.#options.readPingIntervalMs(this.#member.id)) {
            this.#sendPing(now);
        }
        else if (this.#pending.size > 0) {
            this.#pingIfSilent(now);
        }
        if (this.#channel.isOverLimit) {
            this.#connection.close();
            this.#resetSession("the daemon of the server doesn't take what it is sent");
        }
    }

    /** Counts the silence anew while parts of a message arrive: a large one takes long on a weak link. */
    #checkProgress(connection: FrameConnection, now: number): void {
        const receivedBytes = connection.getReceivedBytes();
        if (receivedBytes > this.#receivedBytes) {
            this.#unansweredSince = now;
            this.#unansweredTicks = 0;
        }
        this.#receivedBytes = receivedBytes;
    }

    /** Checks an owner of which nothing was heard for a while as soon as a request depends on it. */
    #pingIfSilent(now: number): void {
        const quietSince = Math.max(this.#lastHeardAt, this.#lastPingAt);
        if (this.#connection !== undefined && now - quietSince >= PENDING_PING_INTERVAL_MS) {
            this.#sendPing(now);
        }
    }

    /** Sends a ping with the status of this daemon. */
    #sendPing(now: number): void {
        this.#lastPingAt = now;
        if (this.#unansweredSince === undefined) {
            this.#unansweredSince = now;
            this.#receivedBytes = this.#connection?.getReceivedBytes() ?? 0;
        }
        this.#channel.send({
            ...this.#options.readStatus(),
            kind: "ping",
            received: this.#channel.received,
            roundTripMs: this.#transit.roundTripMs,
            sentAt: now,
        });
        this.#channel.markReceivedReported();
    }

    /** Sends a message that is lost when the connection is. */
    sendGossip(message: GossipMessage): void {
        this.#channel.send(message);
    }

    /** Closes the session for good and fails all requests on it. */
    close(detail: string): void {
        this.#isClosed = true;
        this.#cancelReconnect();
        this.#connection?.close();
        this.#connection = undefined;
        this.#failPendingRequests(detail);
    }

    #createChannel(): ReliableChannel {
        return new ReliableChannel((kind, bytes) => recordSent(this.#options.uplink, kind, bytes));
    }

    #createReconnectDelays(): Generator<number, never> {
        return generateBackoffDelays(RECONNECT_BASE_MS, () => RECONNECT_MAXIMUM_MS, this.#options.random);
    }

    #isSilent(now: number): boolean {
        return this.#unansweredSince !== undefined && now - this.#unansweredSince > PING_TIMEOUT_MS
            && this.#unansweredTicks >= PING_TIMEOUT_TICKS;
    }

    async #connect(): Promise<void> {
        this.#isConnecting = true;
        const attempt = ++this.#connectAttempts;
        try {
            const connection = await this.#options.network.connect(this.#member.address, this.#member.peerPort);
            if (this.#isClosed) {
                connection.close();
                return;
            }
            await this.#runConnection(connection);
        }
        catch (error) {
            this.#handleConnectionError(error as NodeJS.ErrnoException);
        }
        // An unresponsive connection may end long after the next one was opened.
        if (attempt === this.#connectAttempts) {
            this.#isConnecting = false;
            if (!this.#isClosed && this.#connection === undefined) {
                this.#scheduleReconnect();
            }
        }
    }

    /** A refused connection means that the owner's process has ended and its session state is lost. */
    #handleConnectionError(error: NodeJS.ErrnoException | MessageError): void {
        if (error instanceof MessageError) {
            this.#resetSession("the daemon of the server sent what can't be read");
        }
        else if (error.code === CONNECTION_REFUSED_CODE) {
            this.#options.onEnded(this.#member.id);
            if (this.#isEstablished) {
                this.#resetSession("the daemon of the server has ended");
            }
        }
        if (!this.#wasUnreachable) {
            this.#wasUnreachable = true;
            this.#options.log.warn(`${this.#member.id} can't be reached: ${error.message}.`, { peer: this.#member.id });
        }
    }

    #scheduleReconnect(): void {
        this.#cancelReconnect();
        this.#cancelReconnect = this.#options.timers.after(this.#reconnectDelays.next().value, () => {
            if (this.#connection === undefined && !this.#isConnecting) {
                void this.#connect();
            }
        });
    }

    async #runConnection(connection: FrameConnection): Promise<void> {
        this.#helloSentAt = this.#options.now();
        const sessionId = this.#sessionId;
        const frame = encodeSessionMessage({
            ...this.#options.readStatus(),
            kind: "hello",
            member: this.#options.readSelf(),
            received: this.#channel.received,
            server: this.#server,
            sessionId,
            target: this.#member.id,
        });
        recordSent(this.#options.uplink, "hello", frame.length);
        connection.send(frame);
        // Only one connection at a time may be in its handshake: another one would make its message counts stale.
        const cancelTimeout = scheduleTimeout(this.#options.timers, HANDSHAKE_TIMEOUT_MS, () => {
            if (this.#connection !== connection) {
                connection.close();
            }
        });
        try {
            await consumeFrames(connection, (message, bytes) => {
                recordReceived(this.#options.uplink, message.kind, bytes);
                if (this.#sessionId !== sessionId) {
                    // The session was abandoned meanwhile; the new one doesn't count the messages of this connection.
                    connection.close();
                    return;
                }
                this.#lastHeardAt = this.#options.now();
                this.#unansweredSince = undefined;
                this.#unansweredTicks = 0;
                this.#handle(connection, message, bytes);
            });
        }
        finally {
            cancelTimeout();
            this.#detachConnection(connection);
        }
    }

    #detachConnection(connection: FrameConnection): void {
        this.#channel.detach(connection);
        if (this.#connection === connection) {
            this.#connection = undefined;
            this.#disconnectedAt = this.#options.now();
            this.#disconnectedTicks = 0;
            if (!this.#isClosed) {
                this.#scheduleReconnect();
            }
        }
    }

    #handle(connection: FrameConnection, message: SessionMessage, bytes: number): void {
        if (message.kind === "welcome") {
            this.#completeHandshake(connection, message);
            return;
        }
        if (this.#connection !== connection) {
            return;
        }
        if (isSequenced(message.kind)) {
            this.#channel.recordReceived(bytes);
        }
        if (isGossip(message)) {
            // Statuses on this side are rare and not compared with a round trip.
            handleGossip(this.#member.id, message, this.#options, () => Infinity);
            return;
        }
        if ("load" in message) {
            this.#recordLoad(message.load);
        }
        if ("stream" in message && "version" in message && message.version !== undefined) {
            this.#options.onVersion(this.#member.id, message.version);
        }
        switch (message.kind) {
            case "pong":
                this.#acknowledge(message.received);
                this.#handlePong(message);
                return;
            case "acknowledge":
                this.#acknowledge(message.received);
                return;
            case "load":
                this.#server = message.server;
                return;
            default:
                this.#handleRequestMessage(message);
        }
    }

    #handlePong(message: SessionMessageOf<"pong">): void {
        const { ageClock, now, onRoundTrip, onStatus } = this.#options;
        const transitMs = ageClock.measureSince(message.sentAt);
        this.#transit.recordRoundTrip(transitMs);
        onStatus({ ...addTransit(message, transitMs), id: this.#member.id });
        onRoundTrip(this.#member.id, now() - message.sentAt);
    }

    #recordLoad(load: OwnerLoad): void {
        if (this.#server !== undefined && this.#server.limitPerSecond !== load.limitPerSecond) {
            this.#server = { ...this.#server, limitPerSecond: load.limitPerSecond };
        }
        this.#options.onLoad(this.#member.id, load);
    }

    #completeHandshake(connection: FrameConnection, welcome: SessionMessageOf<"welcome">): void {
        if (this.#isEstablished && !welcome.isResumed) {
            // The owner has created a new session under the same id.
            this.#failPendingRequests("the daemon of the server has restarted");
        }
        const refresh = (message: SessionMessage): SessionMessage =>
            updateTimeLeft(message, this.#pending, this.#options.now());
        if (!this.#channel.attach(connection, welcome.received, refresh)) {
            this.#resetSession("the session can't be resumed");
            connection.close();
            return;
        }
        this.#isEstablished = true;
        this.#isConnecting = false;
        this.#connection = connection;
        this.#transit = new TransitBound();
        this.#reconnectDelays = this.#createReconnectDelays();
        if (this.#wasUnreachable) {
            this.#wasUnreachable = false;
            this.#options.log.info(`connected to ${this.#member.id}.`, { isResumed: welcome.isResumed });
        }
        // A restarted owner may not know its server yet; the identity sent in the hello still applies.
        this.#server = welcome.server ?? (welcome.isResumed ? undefined : this.#server);
        this.#options.onMembers([welcome.member]);
        this.#options.onLoad(this.#member.id, welcome.load);
        const handshakeMs = this.#options.ageClock.measureSince(this.#helloSentAt);
        this.#options.onStatus({ ...addTransit(welcome, handshakeMs), id: this.#member.id });
        this.#options.onConnected(this.#member.id);
        for (const pending of this.#pending.values()) {
            pending.hasTimedOut = false;
        }
    }

    #acknowledge(received: number): void {
        if (!this.#channel.acknowledge(received)) {
            this.#options.log.warn("peer acknowledged more messages than were sent, closing the connection.", {
                peer: this.#member.id,
            });
            this.#connection?.close();
        }
    }

    #handleRequestMessage(message: SessionMessage): void {
        if (!("stream" in message)) {
            this.#options.log.warn(`unexpected message ${message.kind} on the caller's side of a session.`, {
                peer: this.#member.id,
            });
            return;
        }
        const events = this.#pending.get(message.stream)?.events;
        if (events === undefined) {
            return;
        }
        if (isLastMessage(message)) {
            this.#pending.delete(message.stream);
        }
        handleRequestMessage(message, events);
    }

    /**
     * Handles an unresponsive owner. A non-idempotent request without a `proceed` is cancelled and refused,
     * since it can't start without that message. Others may be placed elsewhere as well.
     */
    #handleOwnerTimeout(): void {
        for (const [stream, pending] of [...this.#pending]) {
            if (!isRepeatable(pending.request.kind) && !pending.hasProceeded) {
                this.#pending.delete(stream);
                this.#channel.send({ kind: "cancel", stream });
                pending.events.onRefused({
                    detail: "the daemon of the server is silent",
                    reason: RefusalReason.DaemonUnreachable,
                    retryAfterMs: 0,
                }, undefined);
            }
            else if (!pending.hasTimedOut) {
                pending.hasTimedOut = true;
                pending.events.onOwnerTimeout();
            }
        }
    }

    /** Abandons the session for a new one, after the owner lost its state or stayed unreachable. */
    #resetSession(detail: string): void {
        this.#sessionId = this.#options.createSessionId();
        this.#failPendingRequests(detail);
    }

    #failPendingRequests(detail: string): void {
        const pending = [...this.#pending.values()];
        this.#pending.clear();
        this.#channel = this.#createChannel();
        this.#isEstablished = false;
        for (const { events, hasProceeded, request } of pending) {
            if (isRepeatable(request.kind) || hasProceeded) {
                events.onOutcomeUnknown(detail, undefined);
            }
            else {
                events.onRefused({ detail, reason: RefusalReason.DaemonUnreachable, retryAfterMs: 0 }, undefined);
            }
        }
    }
}
