/**
 * Delivers sequenced messages exactly once and in order over successive connections: messages that the
 * peer has not acknowledged are kept and sent again over the next connection.
 */
import type { FrameConnection } from "../peer/index.js";
import type { SessionMessage, SessionMessageKind } from "./SessionMessages.js";
import { encodeSessionMessage, isSequenced } from "./SessionMessages.js";

/** Received frames or bytes after which an acknowledgement is sent without waiting for the next ping. */
const ACKNOWLEDGE_FRAMES = 64;
const ACKNOWLEDGE_BYTES = 65_536;
/** Unacknowledged bytes from which the sender should pause. */
const SEND_WINDOW_BYTES = 262_144;
/** Unacknowledged bytes above which the channel is abandoned, so that an unresponsive peer can't exhaust memory. */
const UNACKNOWLEDGED_LIMIT_BYTES = 96 * 1_048_576;

interface SentFrame {
    readonly message: SessionMessage;
    readonly bytes: number;
}

export class ReliableChannel {
    readonly #recordSent: (kind: SessionMessageKind, bytes: number) => void;
    #connection: FrameConnection | undefined;
    #unacknowledged: SentFrame[] = [];
    #unacknowledgedBytes = 0;
    /** Number of sequenced frames that the peer has acknowledged. */
    #acknowledged = 0;
    #received = 0;
    #reportedReceived = 0;
    #unreportedBytes = 0;

    /** Calls `recordSent` for each frame that is passed to a connection, also for one that is sent again. */
    constructor(recordSent: (kind: SessionMessageKind, bytes: number) => void = () => undefined) {
        this.#recordSent = recordSent;
    }

    get received(): number {
        return this.#received;
    }

    /** Whether the send window has space. */
    get isWritable(): boolean {
        return this.#unacknowledgedBytes < SEND_WINDOW_BYTES;
    }

    get isOverLimit(): boolean {
        return this.#unacknowledgedBytes > UNACKNOWLEDGED_LIMIT_BYTES;
    }

    /** Sends over the current connection, if any; a sequenced message is kept until it is acknowledged. */
    send(message: SessionMessage): void {
        const frame = encodeSessionMessage(message);
        if (isSequenced(message.kind)) {
            this.#unacknowledged.push({ bytes: frame.length, message });
            this.#unacknowledgedBytes += frame.length;
        }
        this.#sendFrame(message.kind, frame);
    }

    /**
     * Resumes over a new connection; `received` is the number of frames that the peer has received.
     * `refresh` updates the remaining times in a message that is sent again. False when `received` is invalid.
     */
    attach(
        connection: FrameConnection,
        received: number,
        refresh: (message: SessionMessage) => SessionMessage = message => message,
    ): boolean {
        if (!this.acknowledge(received)) {
            return false;
        }
        this.#connection = connection;
        for (const { message } of this.#unacknowledged) {
            this.#sendFrame(message.kind, encodeSessionMessage(refresh(message)));
        }
        return true;
    }

    detach(connection: FrameConnection): void {
        if (this.#connection === connection) {
            this.#connection = undefined;
        }
    }

    /** Drops messages that the peer has received; false when it can't have received that number. */
    acknowledge(received: number): boolean {
        const count = received - this.#acknowledged;
        if (count < 0 || count > this.#unacknowledged.length) {
            return false;
        }
        for (let index = 0; index < count; index++) {
            this.#unacknowledgedBytes -= this.#unacknowledged[index]?.bytes ?? 0;
        }
        this.#unacknowledged = this.#unacknowledged.slice(count);
        this.#acknowledged = received;
        return true;
    }

    /** Counts a received sequenced frame; acknowledges in batches. */
    recordReceived(bytes: number): void {
        this.#received++;
        this.#unreportedBytes += bytes;
        if (
            this.#received - this.#reportedReceived >= ACKNOWLEDGE_FRAMES || this.#unreportedBytes >= ACKNOWLEDGE_BYTES
        ) {
            this.send({ kind: "acknowledge", received: this.#received });
            this.markReceivedReported();
        }
    }

    #sendFrame(kind: SessionMessageKind, frame: Uint8Array): void {
        if (this.#connection !== undefined) {
            this.#recordSent(kind, frame.length);
            this.#connection.send(frame);
        }
    }

    /** Records that the number of received frames was sent in another message. */
    markReceivedReported(): void {
        this.#reportedReceived = this.#received;
        this.#unreportedBytes = 0;
    }
}
