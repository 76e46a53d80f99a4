import type { FrameConnection } from "../../protocol/peer/index.js";

/** Listening side of a daemon. */
export interface PeerListener {
    readonly port: number;
    /** Stops accepting and closes what is open. */
    close(): Promise<void>;
}

/** Connections between daemons; over `ws` in the daemon, in memory in tests. */
export interface PeerNetwork {
    listen(address: string, port: number, onConnection: (connection: FrameConnection) => void): Promise<PeerListener>;
    /** Rejects when the other side refuses or does not answer in time. */
    connect(address: string, port: number): Promise<FrameConnection>;
}
