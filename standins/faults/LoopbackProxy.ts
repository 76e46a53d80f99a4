/** A TCP proxy on loopback whose connections can be reset, silenced or delayed from outside the programs. */
import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

/** Which of a connection's directions pass no bytes. */
export const Silence = { None: "none", Forward: "forward", Back: "back", Both: "both" } as const;
export type Silence = (typeof Silence)[keyof typeof Silence];

export interface LoopbackProxy {
    readonly port: number;
    /** Connections that were opened so far. */
    countConnections(): number;
    /** Resets all connections; new ones are accepted. */
    resetAll(): void;
    /** Bytes of a silent direction are held and pass when the silence ends. */
    silence(direction: Silence): void;
    /** Refuses or accepts new connections. */
    setRefusing(isRefusing: boolean): void;
    setDelay(ms: number): void;
    close(): Promise<void>;
}

interface Pair {
    readonly inner: Socket;
    readonly outer: Socket;
}

export async function startLoopbackProxy(targetPort: number, port = 0, host = "127.0.0.1"): Promise<LoopbackProxy> {
    const pairs = new Set<Pair>();
    const held: (() => void)[] = [];
    let silence: Silence = Silence.None;
    let isRefusing = false;
    let delayMs = 0;
    let connections = 0;

    function pass(from: Socket, to: Socket, direction: Silence): void {
        from.on("data", (data: Buffer) => {
            const deliver = (): void => {
                if (silence === direction || silence === Silence.Both) {
                    held.push(deliver);
                }
                else if (!to.destroyed) {
                    to.write(data);
                }
            };
            if (delayMs > 0) {
                setTimeout(deliver, delayMs);
            }
            else {
                deliver();
            }
        });
        from.on("error", () => to.destroy());
        from.on("close", () => {
            if (silence === Silence.None) {
                to.destroy();
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
        pairs.add(pair);
        outer.on("close", () => pairs.delete(pair));
        pass(outer, inner, Silence.Forward);
        pass(inner, outer, Silence.Back);
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, () => resolve());
    });

    function resetAll(): void {
        for (const { inner, outer } of pairs) {
            outer.resetAndDestroy();
            inner.resetAndDestroy();
        }
        pairs.clear();
    }

    return {
        close: async () => {
            resetAll();
            await new Promise(resolve => server.close(resolve));
        },
        countConnections: () => connections,
        port: (server.address() as AddressInfo).port,
        resetAll,
        setDelay: ms => {
            delayMs = ms;
        },
        setRefusing: value => {
            isRefusing = value;
        },
        silence: direction => {
            silence = direction;
            if (direction === Silence.None) {
                held.splice(0).forEach(deliver => deliver());
            }
        },
    };
}
