import type { Server } from "node:net";
import { createServer } from "node:net";

/**
 * The range ends below 32768, where the ephemeral ports usually begin: an outgoing connection could
 * otherwise take a port between its choice here and its later use.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Offset between the first ports that processes with consecutive ids try. */
const PORT_STRIDE_PER_PROCESS = 97;

/** Selects `count` free ports of the loopback address; holds each open until all are chosen. */
export async function selectFreePorts(count: number): Promise<readonly number[]> {
    const servers: Server[] = [];
    const ports: number[] = [];
    for (let offset = 0; ports.length < count && offset < LAST_PORT - FIRST_PORT; offset++) {
        const port = FIRST_PORT + (process.pid * PORT_STRIDE_PER_PROCESS + offset) % (LAST_PORT - FIRST_PORT);
        const server = await openServer(port);
        if (server !== undefined) {
            servers.push(server);
            ports.push(port);
        }
    }
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    if (ports.length < count) {
        throw new Error(`only ${ports.length} of ${count} ports are free between ${FIRST_PORT} and ${LAST_PORT}`);
    }
    return ports;
}

/** Resolves with undefined when the port is in use. */
function openServer(port: number): Promise<Server | undefined> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => {
            resolve(undefined);
        });
        server.listen(port, "127.0.0.1", () => {
            resolve(server);
        });
    });
}
