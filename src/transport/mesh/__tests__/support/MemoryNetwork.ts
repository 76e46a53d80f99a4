import { FrameQueue } from "../../../../protocol/peer/index.js";
import type { FrameConnection } from "../../../../protocol/peer/index.js";
import type { PeerListener, PeerNetwork } from "../../../peer/index.js";
import type { VirtualTime } from "./VirtualTime.js";

/** Returns the frames to deliver in place of a frame, each after its delay; an empty list drops the frame. */
export type AlterFrame = (frame: Uint8Array) => readonly { readonly frame: Uint8Array; readonly delayMs: number; }[];

interface MemoryListener {
    readonly onConnection: (connection: FrameConnection) => void;
    readonly closeConnections: Set<() => void>;
}

const FRAME_DELAY_MS = 1;

/** In-memory connections, by port. Hung ports neither receive nor send. */
export class MemoryNetwork {
    connections = 0;
    alterFrame: AlterFrame | undefined;
    readonly hungPorts = new Set<number>();
    private readonly listeners = new Map<number, MemoryListener>();
    private lastPort = 1_000;

    constructor(private readonly time: VirtualTime) {}

    /** Creates the network of one daemon, which records the port from which its connections originate. */
    createEndpoint(): PeerNetwork {
        let ownPort = 0;
        return {
            connect: async (_address, port) => this.connect(ownPort, port),
            listen: async (_address, port, onConnection) => {
                ownPort = port === 0 ? ++this.lastPort : port;
                return this.listen(ownPort, onConnection);
            },
        };
    }

    /** Opens a connection; tests may call it directly to act as a peer. */
    connect(from: number, to: number): FrameConnection {
        const listener = this.listeners.get(to);
        if (listener === undefined) {
            throw new Error(`connection refused: nothing listens on port ${to}`);
        }
        this.connections++;
        const [outer, inner] = this.createPair(from, to);
        listener.closeConnections.add(inner.close);
        this.listeners.get(from)?.closeConnections.add(outer.close);
        listener.onConnection(inner);
        return outer;
    }

    private listen(port: number, onConnection: (connection: FrameConnection) => void): PeerListener {
        const listener: MemoryListener = { onConnection, closeConnections: new Set() };
        this.listeners.set(port, listener);
        return {
            close: async () => {
                this.listeners.delete(port);
                listener.closeConnections.forEach(close => close());
            },
            port,
        };
    }

    private createPair(from: number, to: number): readonly [FrameConnection, FrameConnection] {
        const queues = [new FrameQueue(), new FrameQueue()] as const;
        const close = (): void => void this.time.after(FRAME_DELAY_MS, () => queues.forEach(queue => queue.end()));
        const createSide = (own: FrameQueue, other: FrameQueue): FrameConnection => ({
            close,
            getBufferedBytes: () => 0,
            getReceivedBytes: () => 0,
            frames: own,
            send: frame => this.transmit(frame, other, [from, to]),
        });
        return [createSide(queues[0], queues[1]), createSide(queues[1], queues[0])];
    }

    private transmit(frame: Uint8Array, receiver: FrameQueue, ports: readonly number[]): void {
        const copies = this.alterFrame?.(frame) ?? [{ delayMs: 0, frame }];
        for (const copy of copies) {
            this.time.after(FRAME_DELAY_MS + copy.delayMs, () => {
                if (!ports.some(port => this.hungPorts.has(port))) {
                    receiver.push(copy.frame);
                }
            });
        }
    }
}
