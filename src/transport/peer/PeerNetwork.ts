import type { FrameConnection } from "../../protocol/peer/index.js";

/** Listener for connections of other daemons. */
export interface PeerListener {
    readonly port: number;
    /** Stops accepting connections and closes the open ones. */
    close(): Promise<void>;
}

/** Connections between daemons; over `ws` in the daemon, in memory in tests. */
export interface PeerNetwork {
    listen(address: string, port: number, onConnection: (connection: FrameConnection) => void): Promise<PeerListener>;
    /** Rejects if the peer refuses the connection or does not answer in time. */
    connect(address: string, port: number): Promise<FrameConnection>;
}
