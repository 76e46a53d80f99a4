import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

const UNFINISHED: readonly (readonly [string, string])[] = [
    ["a head that breaks off", "HTTP/1.1 200 OK\r\nRequest-Id: a"],
    ["text without a line end", "garbage"],
    ["an interim answer that breaks off", "HTTP/1.1 103 Early Hints\r\nLink: <a"],
];

/** Guards against a request that is lost to bytes which were known to be on its connection before it was sent. */
describe("bytes in one read with the answer before them", () => {
    it.each(UNFINISHED)("make the connection unusable when they are %s", async (_name, bytes) => {
        const server = await startRawServer((socket, id, count) => {
            socket.write(formatAnswer(id, "own") + (count === 1 ? bytes : ""));
        });
        const admission = createAdmissionController(server.port);
        cleanups.push(() => server.close(), () => admission.closeAll());
        for (const id of ["a", "b"]) {
            const request = recordRequest();
            admission.submit(createOwnedRequest(id), request.listener);
            expect(await request.end, `request ${id}`).toBe("answer 200 own");
            await new Promise(resolve => setTimeout(resolve, 2));
        }
        expect(server.connections.length).toBe(2);
    });
});
