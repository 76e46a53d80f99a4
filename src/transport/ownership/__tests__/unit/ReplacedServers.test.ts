import type { Socket } from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { ServerPhase } from "../../../../coordination/registration/index.js";
import { createAdmissionController, createOwnedRequest, createReport, recordRequest } from "../fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../fixtures/RawServer.js";

const cleanups: (() => Promise<void> | void)[] = [];

afterEach(async () => {
    for (const cleanUp of cleanups.splice(0).reverse()) {
        await cleanUp();
    }
});

/** Starts a server that answers its first request when `finish` is called, and the others at once. */
async function startSlowServer(formatFirst: (id: string) => string) {
    let finish: () => void = () => undefined;
    let begin: () => void = () => undefined;
    const begun = new Promise<void>(resolve => {
        begin = resolve;
    });
    const server = await startRawServer((socket: Socket, id, count) => {
        if (count > 1) {
            socket.write(formatAnswer(id, "earlier server"));
            return;
        }
        finish = () => socket.write(formatFirst(id));
        begin();
    });
    cleanups.push(() => server.close());
    return { begun, finish: () => finish(), port: server.port };
}

/** Guards against requests for a server that go to the one before it over a connection which was in use at the change. */
describe("a connection that is in use when another server reports", () => {
    it("carries no request for that server", async () => {
        const earlier = await startSlowServer(id => formatAnswer(id, "first"));
        const later = await startRawServer((socket, id) => {
            socket.write(formatAnswer(id, "later server"));
        });
        const admission = createAdmissionController(earlier.port);
        cleanups.push(() => later.close(), () => admission.closeAll());
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        await earlier.begun;
        admission.acceptReport(createReport(later.port, { serverId: "server-2", startedAt: 2_000 }));
        earlier.finish();
        expect(await first.end).toBe("answer 200 first");
        await new Promise(resolve => setTimeout(resolve, 5));
        const second = recordRequest();
        admission.submit(createOwnedRequest("b"), second.listener);
        expect(await second.end).toBe("answer 200 later server");
    });
});

/** Guards against a server that gets no request any more because of an answer to a request for the one before it. */
describe("an answer of a misdirected request that was sent to an earlier server", () => {
    it("leaves the server open that has reported since", async () => {
        const server = await startSlowServer(id => formatAnswer(id, "").replace("200 OK", "421 Misdirected"));
        const admission = createAdmissionController(server.port);
        cleanups.push(() => admission.closeAll());
        const first = recordRequest();
        admission.submit(createOwnedRequest("a"), first.listener);
        await server.begun;
        admission.acceptReport(createReport(server.port, { serverId: "server-2", startedAt: 2_000 }));
        server.finish();
        expect(await first.end).toBe("declined");
        expect(admission.registration.server).toMatchObject({ phase: ServerPhase.Ready, serverId: "server-2" });
    });
});
