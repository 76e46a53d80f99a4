/** A stream of whole frames between two daemons; `transport/peer` provides it over `ws`. */
export interface FrameConnection {
    /** Frames in the order of arrival; ends when the connection ends. */
    readonly frames: AsyncIterableIterator<Uint8Array>;
    send(frame: Uint8Array): void;
    /** Bytes accepted by `send` and not yet passed to the network. */
    getBufferedBytes(): number;
    close(): void;
}
