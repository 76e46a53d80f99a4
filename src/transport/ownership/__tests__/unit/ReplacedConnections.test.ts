import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

const SLOTS = 2;

/** Starts a server that takes as many connections as it has slots, and resets the others. */
async function openFullServer() {
    const server = createServer(socket => {
        socket.on("error", () => socket.destroy());
        socket.on("data", data => {
            const id = /^request-id: (.+)$/im.exec(data.toString("latin1"))?.[1]?.trim() ?? "";
            socket.write(formatAnswer(id, "own"));
        });
    });
    server.maxConnections = SLOTS;
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    cleanups.push(() => new Promise(resolve => server.close(() => resolve())));
    const admission = createAdmissionController((server.address() as AddressInfo).port, { slots: SLOTS });
    cleanups.push(() => admission.closeAll());
    return admission;
}

/** Guards against repeats that fail because the server still counts the connection which a new one replaces. */
describe("requests that come again in all slots, at a server with as many connections", () => {
    it("are answered each time", async () => {
        const admission = await openFullServer();
        const send = async (id: string): Promise<string> => {
            const request = recordRequest();
            admission.submit(createOwnedRequest(id), request.listener);
            return request.end;
        };
        const ends: string[] = [];
        for (let run = 0; run < 20; run++) {
            ends.push(...await Promise.all(["a", "b"].map(send)));
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(ends).toEqual(Array(40).fill("answer 200 own"));
    });
});
