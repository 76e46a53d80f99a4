/** Connections between simulated daemons: ordered and reliable, but slow, cut off or closed as a history wants it. */
import { FrameQueue } from "../../../../protocol/peer/index.js";
import type { FrameConnection } from "../../../../protocol/peer/index.js";
import type { Random } from "../../../../state/shared/index.js";
import type { PeerNetwork } from "../../../peer/index.js";
import { scheduleTimeout } from "../../../timers/index.js";
import type { SimulatedClock } from "./SimulatedClock.js";
import { EventCost } from "./SimulatedProcess.js";
import type { SimulatedProcess } from "./SimulatedProcess.js";

/** Wait for the handshake of a connection, as in the sessions' network. */
const CONNECT_TIMEOUT_MS = 700;
/** Wait for the end of the closing handshake, as in the WebSocket network. */
const CLOSE_TIMEOUT_MS = 1_000;
/** First retransmission of a lost packet; each further one takes twice as long. */
const RETRANSMISSION_MS = 200;
const MAXIMUM_RETRANSMISSIONS = 4;
/** Share of a latency by which messages vary. */
const JITTER = 0.5;
/** Frames above this size are copies of versions. */
const COPY_FRAME_BYTES = 4_000;

/** State of the way from one daemon to another. */
export interface NetworkPath {
    readonly latencyMs: number;
    /** Time until which no packet arrives; -Infinity on a sound path. */
    readonly cutUntil: number;
    readonly lossShare: number;
    /** Wait of each message, and of a copy of a version, at the sender's link. */
    readonly messageWaitMs: number;
    readonly copyWaitMs: number;
}

export interface NetworkNode {
    readonly process: SimulatedProcess;
    accept: ((connection: FrameConnection) => void) | undefined;
    /** Closes the connections of a process that ends. */
    readonly closers: Set<() => void>;
}

class Endpoint implements FrameConnection {
    readonly frames = new FrameQueue();
    peer: Endpoint | undefined;
    isClosed = false;
    #lastArrival = 0;
    #receivedBytes = 0;

    constructor(
        private readonly clock: SimulatedClock,
        private readonly random: Random,
        private readonly node: NetworkNode,
        private readonly readPath: () => NetworkPath,
    ) {
        node.closers.add(this.#closeByKernel);
    }

    send(frame: Uint8Array): void {
        if (this.isClosed) {
            return;
        }
        const { peer } = this;
        this.#transmit(frame.length, () => {
            if (peer?.isClosed === false) {
                const costMs = frame.length > COPY_FRAME_BYTES ? EventCost.Copy : EventCost.Small;
                peer.node.process.handle(() => peer.#receive(frame), costMs);
            }
        });
    }

    getBufferedBytes(): number {
        return 0;
    }

    getReceivedBytes(): number {
        return this.#receivedBytes;
    }

    close(): void {
        if (this.isClosed) {
            return;
        }
        this.isClosed = true;
        this.node.closers.delete(this.#closeByKernel);
        const { peer } = this;
        this.#transmit(0, () => peer?.node.process.handle(() => peer.end()));
        this.node.process.timers.after(CLOSE_TIMEOUT_MS, () => this.frames.end());
    }

    #receive(frame: Uint8Array): void {
        this.#receivedBytes += frame.length;
        this.frames.push(frame);
    }

    /** Ends the connection as the other side has closed it. */
    end(): void {
        this.isClosed = true;
        this.node.closers.delete(this.#closeByKernel);
        this.frames.end();
    }

    readonly #closeByKernel = (): void => {
        this.isClosed = true;
        const { peer } = this;
        this.#transmit(0, () => peer?.node.process.handle(() => peer.end()));
    };

    #transmit(bytes: number, deliver: () => void): void {
        const arrival = computeArrival(this.clock.now, this.readPath(), bytes, this.random);
        // One connection delivers in order.
        this.#lastArrival = Math.max(this.#lastArrival, arrival);
        this.clock.schedule(this.#lastArrival, deliver);
    }
}

function computeArrival(now: number, path: NetworkPath, bytes: number, random: Random): number {
    const waitMs = bytes > COPY_FRAME_BYTES ? Math.max(path.copyWaitMs, path.messageWaitMs) : path.messageWaitMs;
    let at = now + waitMs + path.latencyMs * (1 + JITTER * random());
    for (let attempt = 0; attempt < MAXIMUM_RETRANSMISSIONS && random() < path.lossShare; attempt++) {
        at += RETRANSMISSION_MS * 2 ** attempt;
    }
    for (let attempt = 0; at < path.cutUntil; attempt++) {
        at += RETRANSMISSION_MS * 2 ** attempt;
    }
    return at;
}

/** Creates the network as one daemon sees it; ports are the numbers of daemons. */
export function createSimulatedNetwork(
    clock: SimulatedClock,
    random: Random,
    self: NetworkNode,
    findNode: (port: number) => NetworkNode | undefined,
    readPath: (from: NetworkNode, to: NetworkNode) => NetworkPath,
): PeerNetwork {
    return {
        connect: (_address, port) =>
            new Promise((resolve, reject) => {
                const node = findNode(port);
                let isOver = false;
                const settle = (action: () => void): void => {
                    if (!isOver) {
                        isOver = true;
                        cancelTimeout();
                        action();
                    }
                };
                const cancelTimeout = scheduleTimeout(
                    self.process.timers,
                    CONNECT_TIMEOUT_MS,
                    () => settle(() => reject(new Error("connecting timed out"))),
                );
                const refuse = (): void => {
                    const error = Object.assign(new Error("the connection was refused"), { code: "ECONNREFUSED" });
                    self.process.handle(() => settle(() => reject(error)));
                };
                if (node === undefined) {
                    clock.schedule(clock.now + 1, refuse);
                    return;
                }
                const respond = (action: () => void): void => {
                    const path = readPath(node, self);
                    clock.schedule(computeArrival(clock.now, path, 0, random), action);
                };
                const arrival = computeArrival(clock.now, readPath(self, node), 0, random);
                clock.schedule(arrival, () => {
                    if (node.process.isEnded) {
                        respond(refuse);
                        return;
                    }
                    node.process.handle(() => {
                        const own = new Endpoint(clock, random, self, () => readPath(self, node));
                        const other = new Endpoint(clock, random, node, () => readPath(node, self));
                        own.peer = other;
                        other.peer = own;
                        node.accept?.(other);
                        respond(() =>
                            self.process.handle(() => {
                                if (isOver) {
                                    own.close();
                                }
                                settle(() => resolve(own));
                            })
                        );
                    });
                });
            }),
        listen: (_address, port, onConnection) => {
            self.accept = onConnection;
            return Promise.resolve({
                close: () => {
                    self.accept = undefined;
                    return Promise.resolve();
                },
                port,
            });
        },
    };
}
