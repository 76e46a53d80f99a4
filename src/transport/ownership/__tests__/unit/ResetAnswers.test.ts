import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

/** Sends requests one after the other; returns how each of them ended. */
async function listEnds(answer: AnswerRaw, count: number): Promise<string[]> {
    const server = await startRawServer(answer);
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    const ends: string[] = [];
    for (let index = 0; index < count; index++) {
        const request = recordRequest();
        admission.submit(createOwnedRequest(`r${index}`), request.listener);
        ends.push((await request.end).slice(0, 40));
    }
    return ends;
}

function formatUnframed(id: string, bytes: number): string {
    return `HTTP/1.1 200 OK\r\nRequest-Id: ${id}\r\nConnection: close\r\n\r\n${"b".repeat(bytes)}`;
}

const BODY_BYTES = [0, 500, 30_000, 60_000, 150_000];
const PAUSES_MS = [0, 1, 5];
const COUNT = 12;

// Guards against a reset that Node.js tells as an orderly end, and that makes part of a body look like the whole.
describe("an answer without a length", () => {
    it.each(BODY_BYTES.flatMap(bytes => PAUSES_MS.map(pauseMs => [bytes, pauseMs] as const)))(
        "is no whole one when its connection is reset after %i bytes and %i ms",
        async (bytes, pauseMs) => {
            const ends = await listEnds((socket, id) => {
                socket.write(formatUnframed(id, bytes));
                if (pauseMs === 0) {
                    socket.resetAndDestroy();
                }
                else {
                    setTimeout(() => socket.resetAndDestroy(), pauseMs);
                }
            }, COUNT);
            expect(ends.filter(end => end !== "unknown" && end !== "cut")).toEqual([]);
        },
    );

    it.each(BODY_BYTES)("is whole when its connection is closed in order after %i bytes", async bytes => {
        const ends = await listEnds((socket, id) => socket.end(formatUnframed(id, bytes)), COUNT);
        expect(ends.filter(end => !end.startsWith("answer 200 close-delimited") && end !== "end")).toEqual([]);
    });
});
