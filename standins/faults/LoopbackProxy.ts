/** TCP proxy on loopback that can reset, pause or delay the connections between two programs. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** Directions in which no bytes are forwarded; forward is from the client to the target. */
export const PausedDirection = { None: "none", Forward: "forward", Back: "back", Both: "both" } as const;
export type PausedDirection = (typeof PausedDirection)[keyof typeof PausedDirection];

export interface LoopbackProxy {
    readonly port: number;
    /** Returns the number of connections accepted so far. */
    countConnections(): number;
    /** Resets all open connections; new ones are still accepted. */
    resetConnections(): void;
    /** Holds the bytes of a direction until `PausedDirection.None` resumes it. */
    pause(direction: PausedDirection): void;
    /** Refuses or accepts new connections. */
    setRefusingConnections(isRefusing: boolean): void;
    setDelay(ms: number): void;
    close(): Promise<void>;
}

interface ProxiedConnection {
    readonly upstream: Socket;
    readonly downstream: Socket;
}

export async function startLoopbackProxy(targetPort: number, port = 0, host = "127.0.0.1"): Promise<LoopbackProxy> {
    const proxied = new Set<ProxiedConnection>();
    const pausedDeliveries: (() => void)[] = [];
    let pausedDirection: PausedDirection = PausedDirection.None;
    let isRefusing = false;
    let delayMs = 0;
    let connections = 0;

    /** Forwards the bytes of one direction in order, whatever delays and pauses occur meanwhile. */
    function forward(from: Socket, to: Socket, direction: PausedDirection): void {
        const chunks: { readonly data: Buffer; readonly dueAt: number; }[] = [];
        let isEnded = false;
        const deliver = (): void => {
            const isPaused = pausedDirection === direction || pausedDirection === PausedDirection.Both;
            for (let chunk = chunks[0]; chunk !== undefined; chunk = chunks[0]) {
                const waitMs = chunk.dueAt - performance.now();
                if (isPaused) {
                    pausedDeliveries.push(deliver);
                    return;
                }
                if (waitMs > 0) {
                    setTimeout(deliver, waitMs);
                    return;
                }
                chunks.shift();
                if (!to.destroyed) {
                    to.write(chunk.data);
                }
            }
            if (isEnded && !isPaused) {
                to.end();
            }
        };
        from.on("data", (data: Buffer) => {
            chunks.push({ data, dueAt: performance.now() + delayMs });
            if (chunks.length === 1) {
                deliver();
            }
        });
        from.on("end", () => {
            isEnded = true;
            if (chunks.length === 0) {
                deliver();
            }
        });
        from.on("error", () => {
            if (pausedDirection === PausedDirection.None) {
                to.resetAndDestroy();
            }
        });
    }

    const server = createServer(downstream => {
        if (isRefusing) {
            downstream.resetAndDestroy();
            return;
        }
        connections++;
        const upstream = connect({ host, noDelay: true, port: targetPort });
        const pair = { upstream, downstream };
        proxied.add(pair);
        upstream.on("close", () => proxied.delete(pair));
        forward(downstream, upstream, PausedDirection.Forward);
        forward(upstream, downstream, PausedDirection.Back);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });

    function resetConnections(): void {
        for (const { upstream, downstream } of proxied) {
            downstream.resetAndDestroy();
            upstream.resetAndDestroy();
        }
        proxied.clear();
    }

    return {
        close: async () => {
            resetConnections();
            await new Promise(resolve => server.close(resolve));
        },
        countConnections: () => connections,
        port: (server.address() as AddressInfo).port,
        resetConnections,
        setDelay: ms => {
            delayMs = ms;
        },
        setRefusingConnections: value => {
            isRefusing = value;
        },
        pause: direction => {
            pausedDirection = direction;
            if (direction === PausedDirection.None) {
                pausedDeliveries.splice(0).forEach(deliver => deliver());
            }
        },
    };
}
