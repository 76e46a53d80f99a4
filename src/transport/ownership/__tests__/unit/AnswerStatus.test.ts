import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

/** Sends one request to a server that answers with the bytes and keeps its connection open. */
async function answerWith(format: (id: string) => string) {
    const server = await startRawServer((socket, id) => socket.write(format(id)));
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    const request = recordRequest();
    admission.submit(createOwnedRequest("a"), request.listener);
    return { detail: request.details, end: await request.end, running: admission.running };
}

const STATUS_LINES = [
    ...["000", "001", "099", "101", "600", "700", "999"].map(status => `HTTP/1.1 ${status} OK`),
    "HTTP/1.1 2000 OK",
    "HTTP/1.1 20 OK",
    "HTTP/1.1  200 OK",
    "HTTP/2.0 200 OK",
    "HTTP/0.9 200 OK",
    "HTTP/1.1 -20 OK",
];

// Guards against bytes that are no answer but hold a slot to the deadline, or reach the caller as an answer.
describe("a status line that no answer has", () => {
    it.each(STATUS_LINES.flatMap(line => [[line, false] as const, [line, true] as const]))(
        "ends the request at once: %s, followed by an answer: %s",
        async (line, isFollowed) => {
            const { detail, end, running } = await answerWith(id =>
                `${line}\r\nRequest-Id: ${id}\r\nContent-Length: 2\r\n\r\nok${
                    isFollowed ? formatAnswer(id, "late") : ""
                }`
            );
            expect(end).toBe("unknown");
            expect(detail.join()).toContain("the status line is");
            expect(running).toBe(0);
        },
    );
});

// Guards against the body of an interim answer, which has none, that is read in place of the final answer's head.
describe("an interim answer", () => {
    it.each(["100", "102", "199"])("that states a length is passed over: %s", async status => {
        const { end } = await answerWith(id =>
            `HTTP/1.1 ${status} -\r\nContent-Length: 2\r\n\r\n${formatAnswer(id, "final")}`
        );
        expect(end).toBe("answer 200 final");
    });

    it.each(["100", "199"])("with a body ends the request at once: %s", async status => {
        const { detail, end } = await answerWith(id =>
            `HTTP/1.1 ${status} -\r\nContent-Length: 3\r\n\r\nok\n${formatAnswer(id, "final")}`
        );
        expect(end).toBe("unknown");
        expect(detail.join()).toContain("malformed");
    });
});

// Guards against a wait for a body that an answer with this status doesn't have, whatever its headers say.
describe("an answer that ends with its head", () => {
    it.each([
        ["204", "Content-Length: 5"],
        ["204", "Transfer-Encoding: chunked"],
        ["304", "Content-Length: 5"],
        ["304", "Transfer-Encoding: chunked"],
        ["304", "X-A: b"],
    ])("is complete: %s with %s", async (status, header) => {
        const { end } = await answerWith(id => `HTTP/1.1 ${status} -\r\nRequest-Id: ${id}\r\n${header}\r\n\r\n`);
        expect(end).toBe(`answer ${status} `);
    });
});
