import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";

/** Chooses `count` free ports of the loopback address; all are held until the last is known. */
export async function chooseFreePorts(count: number): Promise<readonly number[]> {
    const servers = await Promise.all(Array.from({ length: count }, openServer));
    const ports = servers.map(server => (server.address() as AddressInfo).port);
    await Promise.all(servers.map(server => new Promise(resolve => server.close(resolve))));
    return ports;
}

function openServer(): Promise<Server> {
    return new Promise((resolve, reject) => {
        const server = createServer();
        server.once("error", reject);
        server.listen(0, "127.0.0.1", () => {
            resolve(server);
        });
    });
}
