import type { Server } from "node:net";
import { createServer } from "node:net";

/**
 * Ports are taken below 32768, where usual systems begin to take the local ports of outgoing
 * connections. A port that is chosen now and bound later would otherwise be lost to a connection.
 */
const FIRST_PORT = 20_000;
const LAST_PORT = 32_000;
/** Distance between the first ports that two processes try; process ids follow one another. */
const PORT_STRIDE_PER_PROCESS = 97;

/** Chooses `count` free ports of the loopback address; all are held until the last is known. */
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
