import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

/** Sends one request, and a second one to which the server writes `bytes` before its failure; returns both ends. */
async function sendTwo(bytes: string): Promise<readonly string[]> {
    const server = await startRawServer((socket, id, count) => {
        const failure = formatAnswer(id, "failed").replace("200 OK", "500 Failed");
        socket.write(count === 1 ? formatAnswer(id, "first") : bytes + failure);
    });
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    const ends: string[] = [];
    for (const id of ["a", "b"]) {
        const request = recordRequest();
        admission.submit(createOwnedRequest(id, { budgetLeftMs: 400 }), request.listener);
        ends.push(await request.end);
        await new Promise(resolve => setTimeout(resolve, 2));
    }
    return ends;
}

const SECOND_ANSWERS: readonly (readonly [string, string])[] = [
    ["its id first", "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\n"],
    ["its id last", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 2\r\nRequest-Id: a\r\n\r\n"],
];

/** Guards against a success that is put together from the status of a second answer and the rest of a failure. */
describe("a second answer that breaks off in its head, before the failure of the next request", () => {
    it.each(SECOND_ANSWERS)("is no success of that request, with %s", async (_name, head) => {
        for (let cut = 1; cut < head.length; cut++) {
            const [first, second] = await sendTwo(head.slice(0, cut));
            expect(first).toBe("answer 200 first");
            expect(["answer 500 failed", "unknown"], `cut at ${cut}: ${second}`).toContain(second);
        }
    }, 120_000);
});
