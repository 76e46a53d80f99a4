/** Owner's side of a session: requests that another daemon places at this daemon's backend server. */
import type { OwnerLoad } from "../../coordination/placement/index.js";
import type { FrameConnection } from "../../protocol/peer/index.js";
import { RefusalReason } from "../../protocol/request/index.js";
import { encodeSessionMessage, isGossip, isSequenced, ReliableChannel } from "../../protocol/session/index.js";
import type { GossipMessage, SessionMessage, SessionMessageOf } from "../../protocol/session/index.js";
import type { RequestEvents, RequestHandle } from "../ownership/index.js";
import { addTransit, handleGossip } from "./HandleGossip.js";
import { ArrivingBody } from "./LaterBody.js";
import { recordSent } from "./MessageTraffic.js";
import type { SessionDependencies } from "./SessionTypes.js";
import { TransitBound } from "./TransitBound.js";

interface Stream {
    readonly requestId: string;
    readonly receivedAt: number;
    handle: RequestHandle | undefined;
    /** Body that follows the request; undefined when it came with it. */
    readonly body: ArrivingBody | undefined;
    isPaused: boolean;
    /** Parts of its answer that wait for the link. */
    waitingParts: number;
    /** Whether the request was cancelled or its last event was sent. */
    isEnded: boolean;
}

export class CallerSession {
    readonly #channel: ReliableChannel;
    readonly #streams = new Map<number, Stream>();
    readonly #dependencies: SessionDependencies;
    /** Of the present connection. */
    #transit = new TransitBound();
    #attachedAt = -Infinity;
    #connection: FrameConnection | undefined;
    /** Time at which the last connection was lost; undefined while there is one. */
    #disconnectedAt: number | undefined;

    constructor(readonly peerId: string, dependencies: SessionDependencies) {
        this.#dependencies = dependencies;
        this.#channel = new ReliableChannel((kind, bytes) => recordSent(dependencies.uplink, kind, bytes));
    }

    get disconnectedAt(): number | undefined {
        return this.#disconnectedAt;
    }

    /** Number of requests in flight. */
    get pendingRequests(): number {
        return this.#streams.size;
    }

    get bufferedBytes(): number {
        return this.#connection?.getBufferedBytes() ?? 0;
    }

    /** Continues over a new connection; false when the message counts of the two sides are inconsistent. */
    attach(connection: FrameConnection, hello: SessionMessageOf<"hello">, isResumed: boolean): boolean {
        this.#connection?.close();
        this.#connection = connection;
        this.#transit = new TransitBound();
        this.#attachedAt = this.#dependencies.now();
        this.#disconnectedAt = undefined;
        const load = this.#dependencies.readLoad();
        const received = this.#channel.received;
        // The welcome has to be the first message: the caller's side waits for it.
        const id = this.#dependencies.readSelf().id;
        const server = this.#dependencies.readServerIdentity();
        const welcome = {
            ...this.#dependencies.readStatus(),
            id,
            isResumed,
            kind: "welcome",
            load,
            member: this.#dependencies.readSelf(),
            received,
            server,
        } as const;
        this.#channel.markReceivedReported();
        const frame = encodeSessionMessage(welcome);
        recordSent(this.#dependencies.uplink, welcome.kind, frame.length);
        connection.send(frame);
        return this.#channel.attach(connection, isResumed ? hello.received : 0);
    }

    detach(connection: FrameConnection): void {
        this.#channel.detach(connection);
        if (this.#connection === connection) {
            this.#connection = undefined;
            this.#disconnectedAt = this.#dependencies.now();
        }
    }

    /** Sends a message that is lost when the connection is. */
    sendGossip(message: GossipMessage): void {
        this.#channel.send(message);
    }

    /** Sends the load at once, without waiting for the next ping. */
    sendLoad(): void {
        this.#channel.send({
            kind: "load",
            load: this.#dependencies.readLoad(),
            server: this.#dependencies.readServerIdentity(),
        });
    }

    /** Handles a message. One of an earlier connection is ignored: it is sent again over the present connection. */
    handle(connection: FrameConnection, message: SessionMessage, bytes: number): void {
        if (connection !== this.#connection) {
            return;
        }
        if (isSequenced(message.kind)) {
            this.#channel.recordReceived(bytes);
        }
        if (isGossip(message)) {
            handleGossip(this.peerId, message, this.#dependencies, sentAt => this.#measureTransit(sentAt));
            return;
        }
        switch (message.kind) {
            case "ping":
                this.#answerPing(message);
                return;
            case "acknowledge":
                this.#acknowledge(message.received);
                return;
            case "request":
                if (message.version !== undefined) {
                    this.#dependencies.onVersion(this.peerId, message.version);
                }
                this.#submit(message);
                return;
            case "proceed":
                this.#proceed(message.stream);
                return;
            case "requestData":
                this.#addBodyPart(message);
                return;
            case "cancel":
                this.#cancelStream(message.stream);
                return;
            case "pause":
                this.#streams.get(message.stream)?.handle?.pause();
                return;
            case "resume":
                this.#streams.get(message.stream)?.handle?.resume();
                return;
            default:
                this.#dependencies.log.warn(`unexpected message ${message.kind} on the owner's side of a session.`, {
                    peer: this.peerId,
                });
        }
    }

    /** Cancels all requests and closes the connection; what still arrives over it is ignored. */
    close(): void {
        for (const stream of this.#streams.values()) {
            stream.isEnded = true;
            stream.handle?.cancel();
        }
        this.#streams.clear();
        this.#connection?.close();
        this.#connection = undefined;
    }

    #answerPing(message: SessionMessageOf<"ping">): void {
        this.#acknowledge(message.received);
        if (message.roundTripMs !== undefined) {
            this.#transit.recordRoundTrip(message.roundTripMs);
        }
        this.#dependencies.onStatus({ ...addTransit(message, this.#measureTransit(message.sentAt)), id: this.peerId });
        this.#channel.send({
            ...this.#dependencies.readStatus(),
            kind: "pong",
            load: this.#dependencies.readLoad(),
            received: this.#channel.received,
            sentAt: message.sentAt,
        });
        this.#channel.markReceivedReported();
    }

    #measureTransit(sentAt: number): number {
        const { measureSince, now } = this.#dependencies.ageClock;
        // The other side sends nothing but its hello before it has the welcome.
        return Math.min(this.#transit.measureTransit(sentAt, now()), measureSince(this.#attachedAt));
    }

    #acknowledge(received: number): void {
        const wasWritable = this.#channel.isWritable;
        if (!this.#channel.acknowledge(received)) {
            this.#dependencies.log.warn("peer acknowledged more messages than were sent, closing the connection.", {
                peer: this.peerId,
            });
            this.#connection?.close();
            return;
        }
        if (!wasWritable && this.#channel.isWritable) {
            for (const stream of this.#streams.values()) {
                this.#resumeStream(stream);
            }
        }
    }

    /** Lets the server go on with an answer, unless parts of it still wait for the link or the channel. */
    #resumeStream(stream: Stream): void {
        if (stream.isPaused && stream.waitingParts === 0 && this.#channel.isWritable) {
            stream.isPaused = false;
            stream.handle?.resume();
        }
    }

    #submit(message: SessionMessageOf<"request">): void {
        const { laterBodyBytes } = message.request;
        const stream: Stream = {
            body: laterBodyBytes === undefined ? undefined : new ArrivingBody(laterBodyBytes),
            handle: undefined,
            isEnded: false,
            isPaused: false,
            receivedAt: this.#dependencies.now(),
            requestId: message.request.requestId,
            waitingParts: 0,
        };
        this.#streams.set(message.stream, stream);
        // After messages were held up, a cancellation may have arrived together with its request.
        setImmediate(() => this.#startStream(message, stream));
    }

    #startStream(message: SessionMessageOf<"request">, stream: Stream): void {
        if (stream.isEnded) {
            return;
        }
        const handle = this.#dependencies.submit(message.request, this.#buildEvents(message.stream, stream));
        if (!stream.isEnded) {
            stream.handle = handle;
        }
    }

    #addBodyPart({ body, stream: id }: SessionMessageOf<"requestData">): void {
        const stream = this.#streams.get(id);
        if (stream === undefined) {
            return;
        }
        stream.handle?.renewOffer?.();
        if (stream.body?.add(body) !== true) {
            this.#refuseBody(id, stream);
        }
    }

    #proceed(id: number): void {
        const stream = this.#streams.get(id);
        const body = stream?.body?.take();
        if (stream?.body !== undefined && body === undefined) {
            this.#refuseBody(id, stream);
            return;
        }
        stream?.handle?.proceed(body);
    }

    /** Refuses a request whose body has another length than was said. */
    #refuseBody(id: number, stream: Stream): void {
        this.#dependencies.log.warn(`the body of a request of ${this.peerId} has another length than was said.`, {
            peer: this.peerId,
            requestId: stream.requestId,
        });
        stream.isEnded = true;
        this.#streams.delete(id);
        stream.handle?.cancel();
        this.#channel.send({
            detail: "the body has another length than was said",
            kind: "refused",
            load: this.#dependencies.readLoad(),
            reason: RefusalReason.BadRequest,
            retryAfterMs: 0,
            stream: id,
            version: this.#dependencies.readVersion(),
        });
    }

    #cancelStream(id: number): void {
        const stream = this.#streams.get(id);
        if (stream !== undefined) {
            stream.isEnded = true;
            this.#streams.delete(id);
            this.#dependencies.log.info(`${this.peerId} has cancelled a request.`, {
                ageMs: Math.round(this.#dependencies.now() - stream.receivedAt),
                peer: this.peerId,
                requestId: stream.requestId,
            });
            stream.handle?.cancel();
        }
    }

    #buildEvents(id: number, stream: Stream): RequestEvents {
        const send = (message: SessionMessage): void => {
            if (!stream.isEnded) {
                this.#channel.send(message);
            }
        };
        const end = (message: SessionMessage): void => {
            send(message);
            stream.isEnded = true;
            this.#streams.delete(id);
        };
        const { readLoad, readVersion, uplink } = this.#dependencies;
        const readOwnerFields = (load = readLoad()) => ({ load, version: readVersion() });
        const isWanted = (): boolean => !stream.isEnded;
        const pauseIfWaiting = (): void => {
            if (!stream.isEnded && (stream.waitingParts > 0 || !this.#channel.isWritable)) {
                stream.isPaused = true;
                stream.handle?.pause();
            }
        };
        const sendPart = (bytes: number, sendNow: () => void): void => {
            stream.waitingParts++;
            uplink.sendPart(bytes, () => {
                stream.waitingParts--;
                sendNow();
                this.#resumeStream(stream);
            }, isWanted);
            pauseIfWaiting();
        };
        const sendParts = (body: Uint8Array): void => {
            for (const part of uplink.generateParts(body)) {
                sendPart(part.length, () => send({ body: part, kind: "answerData", stream: id }));
            }
        };
        const sendEnd = (load?: OwnerLoad): void =>
            sendPart(0, () => end({ ...readOwnerFields(load), kind: "answerEnd", stream: id }));
        return {
            onAnswer: (head, body, load) => {
                if (uplink.isDivided(body.length)) {
                    send({ ...head, kind: "answerHead", stream: id });
                    sendParts(body);
                    sendEnd(load);
                    return;
                }
                uplink.sendAnswer(
                    body.length,
                    () => end({ ...head, ...readOwnerFields(load), body, kind: "answer", stream: id }),
                    isWanted,
                );
            },
            onAnswerAborted: (detail, load) =>
                sendPart(0, () => end({ ...readOwnerFields(load), detail, kind: "answerCut", stream: id })),
            onData: sendParts,
            onDeclined: (detail, load) => end({ ...readOwnerFields(load), detail, kind: "declined", stream: id }),
            onEnd: sendEnd,
            onHead: head => send({ ...head, kind: "answerHead", stream: id }),
            onOffer: () => send({ kind: "offer", stream: id }),
            onRefused: (refusal, load) => end({ ...refusal, ...readOwnerFields(load), kind: "refused", stream: id }),
            onOutcomeUnknown: (detail, load) => end({ ...readOwnerFields(load), detail, kind: "unknown", stream: id }),
        };
    }
}
