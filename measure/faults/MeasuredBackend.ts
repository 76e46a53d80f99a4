import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

import { once } from "node:events";
import { createServer } from "node:http";
import { sleep } from "./CountingStore.js";
import { SERVICE_MS, SLOTS } from "./MeasuredDocument.js";
import { Behaviour, REQUEST_NUMBER_HEADER } from "./WorkerMessages.js";

const SLOW_FACTOR = 20;
const CREATED_STATUS = 201;
const ERROR_STATUS = 500;

/** A backend server whose behaviour can be changed while it runs. */
export interface MeasuredBackend {
    readonly port: number;
    setBehaviour(behaviour: Behaviour): void;
}

/** Starts a server that processes `SLOTS` requests concurrently and queues the others. */
export async function startMeasuredBackend(onExecuted: (request: number) => void): Promise<MeasuredBackend> {
    let behaviour: Behaviour = Behaviour.Normal;
    let busySlots = 0;
    const waiting: (() => void)[] = [];

    async function handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
        request.resume();
        await once(request, "end");
        if (behaviour === Behaviour.Failing) {
            onExecuted(Number(request.headers[REQUEST_NUMBER_HEADER]));
            response.writeHead(ERROR_STATUS).end("failed\n");
            return;
        }
        await waitForSlot();
        if (!response.closed) {
            onExecuted(Number(request.headers[REQUEST_NUMBER_HEADER]));
            await sleep(behaviour === Behaviour.Slow ? SERVICE_MS * SLOW_FACTOR : SERVICE_MS);
            response.writeHead(CREATED_STATUS).end("done\n");
        }
        busySlots -= 1;
        waiting.shift()?.();
    }

    async function waitForSlot(): Promise<void> {
        if (busySlots >= SLOTS) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
        busySlots += 1;
    }

    const server = createServer((request, response) => {
        handleRequest(request, response).catch(() => response.destroy());
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        port: (server.address() as AddressInfo).port,
        setBehaviour: next => {
            behaviour = next;
        },
    };
}
