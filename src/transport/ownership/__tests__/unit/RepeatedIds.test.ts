import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createAdmissionController, createOwnedRequest, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";
import type { AnswerRaw } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

async function openAdmission(answer: AnswerRaw) {
    const server = await startRawServer(answer);
    const admission = createAdmissionController(server.port);
    cleanups.push(() => server.close(), () => admission.closeAll());
    const send = async (id: string): Promise<string> => {
        const request = recordRequest();
        admission.submit(createOwnedRequest(id), request.listener);
        return request.end;
    };
    return { admission, send, server };
}

/** Waits until a connection whose request has ended can be used again. */
function waitForIdle(): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, 5));
}

function formatFailure(id: string, body: string): string {
    return formatAnswer(id, body).replace("200 OK", "500 Failed");
}

/** Late second answers to a request, whose form is that of a success also behind a failure. */
const LATE_ANSWERS: readonly (readonly [string, (id: string) => string])[] = [
    ["a short success", id => formatAnswer(id, "ok")],
    ["a copy of a success", id => formatAnswer(id, "first")],
    ["a failure", id => formatFailure(id, "late")],
    ["a head without its body", id => formatAnswer(id, "late").slice(0, -2)],
];

/** Guards against the late second answer of an earlier run that a repeated request gets as its own. */
describe("a request that comes again with its id", () => {
    it.each(LATE_ANSWERS)("gets the answer of its own run, not %s of the run before", async (_name, formatLate) => {
        const last = new Map<Socket, string>();
        const { send } = await openAdmission((socket, id, count) => {
            // The late answer comes where the next one on the connection is expected.
            socket.write((last.get(socket) ?? "") + formatFailure(id, `run ${count}`));
            last.set(socket, formatLate(id));
        });
        for (let run = 1; run <= 5; run++) {
            expect(await send("a"), `run ${run}`).toBe(`answer 500 run ${run}`);
            await waitForIdle();
        }
    });

    it("gets the answer of its own run when the second answer comes while it waits", async () => {
        const { send } = await openAdmission((socket, id, count) => {
            if (count === 1) {
                socket.write(formatFailure(id, "run 1"));
                setTimeout(() => socket.write(formatAnswer(id, "ok")), 15);
                return;
            }
            setTimeout(() => socket.write(formatFailure(id, `run ${count}`)), 30);
        });
        expect(await send("a")).toBe("answer 500 run 1");
        await waitForIdle();
        expect(await send("a")).toBe("answer 500 run 2");
    });

    it("gets the answer of its own run after many other requests on the connection", async () => {
        const carried = new Set<Socket>();
        const { send } = await openAdmission((socket, id) => {
            if (id !== "a") {
                socket.write(formatAnswer(id, "other"));
                return;
            }
            socket.write((carried.has(socket) ? formatAnswer(id, "ok") : "") + formatFailure(id, "own"));
            carried.add(socket);
        });
        expect(await send("a")).toBe("answer 500 own");
        for (let index = 0; index < 300; index++) {
            expect(await send(`b${index}`)).toBe("answer 200 other");
        }
        expect(await send("a")).toBe("answer 500 own");
    });
});

/** Guards against a server whose connections are used up by callers that repeat a request, or whose ids take unbounded memory. */
describe("the connections of a server", () => {
    it("don't become more while a request comes again and again", async () => {
        const { send, server } = await openAdmission((socket, id) => {
            socket.write(formatFailure(id, "own"));
        });
        for (let run = 0; run < 40; run++) {
            expect(await send("a")).toBe("answer 500 own");
            await waitForIdle();
            expect(server.connections.filter(({ destroyed }) => !destroyed).length).toBeLessThanOrEqual(2);
        }
    });

    it("don't become more by a request that is cancelled while its connection waits for the one that it replaces", async () => {
        const { admission, send, server } = await openAdmission((socket, id) => {
            socket.write(formatFailure(id, "own"));
        });
        await send("a");
        await waitForIdle();
        admission.submit(createOwnedRequest("a"), recordRequest().listener).cancel();
        await new Promise(resolve => setTimeout(resolve, 60));
        expect(server.connections.length).toBe(1);
    });

    it("are replaced before one has carried more ids than it remembers", async () => {
        const { send, server } = await openAdmission((socket, id) => {
            socket.write(formatAnswer(id, "own"));
        });
        for (let run = 0; run < 1_030; run++) {
            expect(await send(`a${run}`)).toBe("answer 200 own");
        }
        expect(server.connections.length).toBe(2);
    });
});
