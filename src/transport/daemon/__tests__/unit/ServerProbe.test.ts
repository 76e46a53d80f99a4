import { createServer } from "node:http";
import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, expect, test } from "vitest";
import { registerServerProbe } from "../../ServerProbe.js";
import type { ProbedWatch, Teardown } from "../../ServerProbe.js";

let server: Server | undefined;
let stopProbe: Teardown | undefined;

afterEach(() => {
    stopProbe?.();
    server?.close();
    server?.closeAllConnections();
});

async function startServer(status: number): Promise<number> {
    const started = createServer((_, response) => {
        response.writeHead(status).end();
    });
    server = started;
    await new Promise<void>(resolve => started.listen(0, "127.0.0.1", resolve));
    return (started.address() as AddressInfo).port;
}

/** Creates a watch that requests a probe at each check and collects the results. */
function createEagerWatch(port: number, observed: boolean[]): ProbedWatch {
    const record = { address: "127.0.0.1", connections: 120, port, service: "ledger", slots: 12 };
    return {
        observeAnswer: () => undefined,
        observeProbe: answered => {
            observed.push(answered);
        },
        readServer: () => ({ record }) as ReturnType<ProbedWatch["readServer"]>,
        tick: () => true,
    };
}

// Guards against probe results that do not reach the request path, which would report a failing server as healthy.
test.each([[200, true], [404, true], [503, false]])(
    "a probe answered with status %d is reported as healthy: %s",
    async (status, expected) => {
        const observed: boolean[] = [];
        const watch = createEagerWatch(await startServer(status), observed);
        const view = {
            configuration: undefined,
            cutOffDomains: new Set<string>(),
            members: new Map(),
            membersByService: new Map(),
        };
        const reported = await new Promise<boolean>(resolve => {
            stopProbe = registerServerProbe(watch, () => view, () => 0, resolve);
        });
        expect(reported).toBe(expected);
        expect(observed[0]).toBe(expected);
    },
);
