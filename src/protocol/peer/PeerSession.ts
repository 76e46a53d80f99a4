import { MessageError } from "./FieldCodec.js";
import type { FrameConnection } from "./FrameConnection.js";
import { acceptPeer, connectPeer } from "./Handshake.js";
import type { AuthenticatedPeer, PeerIdentity } from "./Handshake.js";
import { decodeMessage, encodeMessage } from "./MessageCodec.js";
import type { LinkRole, PeerMessage } from "./Messages.js";

/** Buffered bytes above which a slow receiver is disconnected; it catches up by digest after reconnecting. */
const BUFFER_LIMIT_BYTES = 16 * 1_048_576;

export interface SessionOptions {
    readonly self: PeerIdentity;
    readonly meshKey: string;
    /**
     * Passes a frame to `send`, at once or later. All frames of a connection have the same `send`; `to` is
     * known after the first message.
     */
    deliver(frame: Uint8Array, to: PeerIdentity | undefined, send: (frame: Uint8Array) => void): void;
    recordSent(bytes: number, to: PeerIdentity | undefined): void;
    recordReceived(bytes: number, from: PeerIdentity | undefined): void;
}

/** One connection: the handshake, then a stream of validated messages with a single reader. */
export class PeerSession {
    private peer: PeerIdentity | undefined;

    constructor(private readonly connection: FrameConnection, private readonly options: SessionOptions) {}

    /** Performs the handshake of the connecting side; rejects if it fails. */
    async connect(role: LinkRole): Promise<AuthenticatedPeer> {
        return connectPeer(this, this.options.self, role, this.options.meshKey);
    }

    /** Performs the handshake of the accepting side; rejects if it fails. */
    async accept(): Promise<AuthenticatedPeer> {
        return acceptPeer(this, this.options.self, this.options.meshKey);
    }

    /** Yields messages until the connection ends; throws `MessageError` for a frame that is not a valid message. */
    async *readMessages(): AsyncGenerator<PeerMessage> {
        for await (const frame of this.connection.frames) {
            yield this.decode(frame);
        }
    }

    async receive(): Promise<PeerMessage> {
        const result = await this.connection.frames.next();
        if (result.done === true) {
            throw new MessageError("the connection was closed during the handshake");
        }
        const message = this.decode(result.value);
        if (message.kind === "hello" || message.kind === "challenge") {
            this.peer = message;
        }
        return message;
    }

    send(message: PeerMessage): void {
        this.sendFrame(encodeMessage(message));
    }

    /** Sends an encoded message, so that a message to several receivers is encoded once. */
    sendFrame(frame: Uint8Array): void {
        this.options.recordSent(frame.length, this.peer);
        this.options.deliver(frame, this.peer, this.sendNow);
    }

    close(): void {
        this.connection.close();
    }

    private readonly sendNow = (frame: Uint8Array): void => {
        if (this.connection.getBufferedBytes() > BUFFER_LIMIT_BYTES) {
            this.connection.close();
            return;
        }
        this.connection.send(frame);
    };

    private decode(frame: Uint8Array): PeerMessage {
        this.options.recordReceived(frame.length, this.peer);
        return decodeMessage(frame);
    }
}
