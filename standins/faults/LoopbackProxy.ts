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

    /** Bytes of one direction keep their order whatever the delay and silences do in between. */
    function pass(from: Socket, to: Socket, direction: Silence): void {
        const parts: { readonly data: Buffer; readonly dueAt: number; }[] = [];
        let isEnded = false;
        const deliver = (): void => {
            const isSilent = silence === direction || silence === Silence.Both;
            for (let part = parts[0]; part !== undefined; part = parts[0]) {
                const waitMs = part.dueAt - performance.now();
                if (isSilent) {
                    held.push(deliver);
                    return;
                }
                if (waitMs > 0) {
                    setTimeout(deliver, waitMs);
                    return;
                }
                parts.shift();
                if (!to.destroyed) {
                    to.write(part.data);
                }
            }
            if (isEnded && !isSilent) {
                to.end();
            }
        };
        from.on("data", (data: Buffer) => {
            parts.push({ data, dueAt: performance.now() + delayMs });
            if (parts.length === 1) {
                deliver();
            }
        });
        from.on("end", () => {
            isEnded = true;
            if (parts.length === 0) {
                deliver();
            }
        });
        from.on("error", () => {
            if (silence === Silence.None) {
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
        pairs.add(pair);
        inner.on("close", () => pairs.delete(pair));
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
