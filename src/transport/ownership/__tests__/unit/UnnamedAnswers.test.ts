import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

const BUDGET_MS = 1_000;

/** Guards against requests that wait for their whole time for a server that has never named a request. */
describe("a success without an id, on a connection where no answer has named its request", () => {
    it("ends the request at once", async () => {
        const server = await startRawServer((socket, _id, count) => {
            socket.write(`HTTP/1.1 ${count === 1 ? "500 Failed" : "200 OK"}\r\nContent-Length: 2\r\n\r\nok`);
        });
        const admission = createAdmissionController(server.port);
        cleanups.push(() => server.close(), () => admission.closeAll());
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        expect(await first.end).toBe("answer 500 ok");
        await new Promise(resolve => setTimeout(resolve, 5));
        const second = recordRequest();
        const sentAt = performance.now();
        admission.submit(createOwnedRequest("b", { budgetLeftMs: BUDGET_MS }), second.listener);
        expect(await second.end).toBe("unknown");
        expect(performance.now() - sentAt).toBeLessThan(BUDGET_MS / 2);
    });
});
