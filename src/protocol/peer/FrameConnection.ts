/** A bidirectional stream of frames between two daemons; `transport/peer` implements it over `ws`. */
export interface FrameConnection {
    /** Received frames in order; ends when the connection ends. */
    readonly frames: AsyncIterableIterator<Uint8Array>;
    send(frame: Uint8Array): void;
    /** Bytes accepted by `send` but not yet passed to the network. */
    getBufferedBytes(): number;
    /** Bytes received since the connection was opened, also of frames that are not complete yet. */
    getReceivedBytes(): number;
    close(): void;
}
