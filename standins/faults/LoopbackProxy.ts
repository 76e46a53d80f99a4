/** A TCP proxy on loopback whose connections can be reset, silenced or delayed from outside the programs. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** Which of a connection's directions pass no bytes. */
export const PausedDirection = { None: "none", Forward: "forward", Back: "back", Both: "both" } as const;
export type PausedDirection = (typeof PausedDirection)[keyof typeof PausedDirection];

export interface LoopbackProxy {
    readonly port: number;
    /** Connections that were opened so far. */
    countConnections(): number;
    /** Resets all connections; new ones are accepted. */
    resetConnections(): void;
    /** Bytes of a silent direction are held and pass when the silence ends. */
    pause(direction: PausedDirection): void;
    /** Refuses or accepts new connections. */
    setRefusingConnections(isRefusing: boolean): void;
    setDelay(ms: number): void;
    close(): Promise<void>;
}

interface ProxiedConnection {
    readonly inner: Socket;
    readonly outer: Socket;
}

export async function startLoopbackProxy(targetPort: number, port = 0, host = "127.0.0.1"): Promise<LoopbackProxy> {
    const proxied = new Set<ProxiedConnection>();
    const pausedDeliveries: (() => void)[] = [];
    let silence: PausedDirection = PausedDirection.None;
    let isRefusing = false;
    let delayMs = 0;
    let connections = 0;

    /** Bytes of one direction keep their order whatever the delay and silences do in between. */
    function forward(from: Socket, to: Socket, direction: PausedDirection): void {
        const chunks: { readonly data: Buffer; readonly dueAt: number; }[] = [];
        let isEnded = false;
        const deliver = (): void => {
            const isSilent = silence === direction || silence === PausedDirection.Both;
            for (let part = chunks[0]; part !== undefined; part = chunks[0]) {
                const waitMs = part.dueAt - performance.now();
                if (isSilent) {
                    pausedDeliveries.push(deliver);
                    return;
                }
                if (waitMs > 0) {
                    setTimeout(deliver, waitMs);
                    return;
                }
                chunks.shift();
                if (!to.destroyed) {
                    to.write(part.data);
                }
            }
            if (isEnded && !isSilent) {
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
            if (silence === PausedDirection.None) {
                to.resetAndDestroy();
            }
        });
    }

    const server = createServer(outer => {
        if (isRefusing) {
            outer.resetAndDestroy();
            return;
        }
        connections++;
        const inner = connect({ host, noDelay: true, port: targetPort });
        const pair = { inner, outer };
        proxied.add(pair);
        inner.on("close", () => proxied.delete(pair));
        forward(outer, inner, PausedDirection.Forward);
        forward(inner, outer, PausedDirection.Back);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });

    function resetConnections(): void {
        for (const { inner, outer } of proxied) {
            outer.resetAndDestroy();
            inner.resetAndDestroy();
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
        resetConnections: resetConnections,
        setDelay: ms => {
            delayMs = ms;
        },
        setRefusingConnections: value => {
            isRefusing = value;
        },
        pause: direction => {
            silence = direction;
            if (direction === PausedDirection.None) {
                pausedDeliveries.splice(0).forEach(deliver => deliver());
            }
        },
    };
}
