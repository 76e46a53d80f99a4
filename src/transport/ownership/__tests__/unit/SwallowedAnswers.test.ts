import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

function formatFailure(id: string): string {
    return formatAnswer(id, "").replace("200 OK", "500 Failed");
}

/** Sends two requests; the server answers the second one with a failure and a second answer behind it, after `bytes`. */
async function sendTwo(bytes: string): Promise<readonly string[]> {
    const server = await startRawServer((socket, id, count) => {
        socket.write(count === 1 ? formatAnswer(id, "first") : bytes + formatFailure(id) + formatAnswer(id, "ok"));
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

const CHUNKS = "HTTP/1.1 200 OK\r\nRequest-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0";

const CUT_ANSWERS: readonly (readonly [string, string])[] = [
    ["the status line of an interim answer", "HTTP/1.1 103 Early Hi"],
    ["a field of an interim answer", "HTTP/1.1 103 Early Hints\r\nLink: <a"],
    ["a trailer", `${CHUNKS}\r\nX-Sum: 1`],
    ["an extension of the last chunk", `${CHUNKS};a=`],
];

/** Guards against a failure without a body that is read as a part of what came before, so that its second answer stands for it. */
describe("a second answer that breaks off, before a failure that is answered twice", () => {
    it.each(CUT_ANSWERS)("leads to no success when it breaks off in %s", async (_name, bytes) => {
        const [first, second] = await sendTwo(bytes);
        expect(first).toBe("answer 200 first");
        expect(["answer 500 ", "unknown"]).toContain(second);
    });
});
