/**
 * Delivers sequenced messages once and in order over a series of connections: what the other side
 * has not acknowledged is kept and sent again over the next connection.
 */
import type { FrameConnection } from "../peer/index.js";
import type { SessionMessage } from "./SessionMessages.js";
import { encodeSessionMessage, isSequenced } from "./SessionMessages.js";

/** Frames and bytes received after which an acknowledgement is sent without waiting for the next ping. */
const ACKNOWLEDGE_FRAMES = 64;
const ACKNOWLEDGE_BYTES = 65_536;
/** Unacknowledged bytes above which the sender should stop producing. */
const SEND_WINDOW_BYTES = 262_144;
/** Unacknowledged bytes at which the channel is given up, so that a silent peer can't use up the memory. */
const UNACKNOWLEDGED_LIMIT_BYTES = 96 * 1_048_576;

interface SentFrame {
    readonly message: SessionMessage;
    readonly bytes: number;
}

export class ReliableChannel {
    #connection: FrameConnection | undefined;
    #unacknowledged: SentFrame[] = [];
    #unacknowledgedBytes = 0;
    /** Sequenced frames that the other side has acknowledged. */
    #acknowledged = 0;
    #received = 0;
    #reportedReceived = 0;
    #unreportedBytes = 0;

    get received(): number {
        return this.#received;
    }

    /** Whether more may be sent without piling up. */
    get isWritable(): boolean {
        return this.#unacknowledgedBytes < SEND_WINDOW_BYTES;
    }

    get isOverLimit(): boolean {
        return this.#unacknowledgedBytes > UNACKNOWLEDGED_LIMIT_BYTES;
    }

    /** Sends over the present connection; a sequenced message is kept until it is acknowledged. */
    send(message: SessionMessage): void {
        const frame = encodeSessionMessage(message);
        if (isSequenced(message.kind)) {
            this.#unacknowledged.push({ bytes: frame.length, message });
            this.#unacknowledgedBytes += frame.length;
        }
        this.#connection?.send(frame);
    }

    /**
     * Goes on over a new connection; `received` is what the other side has. `renew` adapts a message
     * that is sent again to the time that has passed. False when the counts don't fit together.
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
            connection.send(encodeSessionMessage(refresh(message)));
        }
        return true;
    }

    detach(connection: FrameConnection): void {
        if (this.#connection === connection) {
            this.#connection = undefined;
        }
    }

    /** Drops what the other side has received; false when the count is none that it can have. */
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

    /** Counts a sequenced frame that arrived and acknowledges some at a time. */
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

    /** The count of received frames was sent with another message. */
    markReceivedReported(): void {
        this.#reportedReceived = this.#received;
        this.#unreportedBytes = 0;
    }
}
