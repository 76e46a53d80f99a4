import { afterEach, describe, expect, it } from "vitest";
import { Silence } from "../../../../../standins/faults/index.js";
import { takeTestPort } from "../../../../../standins/ports/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import {
    createAdmissionController,
    createOwnedRequest,
    recordRequest,
} from "../../../ownership/__tests__/fixtures/Admission.js";
import { formatAnswer, startRawServer } from "../../../ownership/__tests__/fixtures/RawServer.js";
import type { AnswerRaw, RawServer } from "../../../ownership/__tests__/fixtures/RawServer.js";
import { createMember, createSessionManager, startSessionPair, waitUntil } from "../fixtures/SessionManagers.js";
import type { SessionPair } from "../fixtures/SessionManagers.js";

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const close of closers.splice(0).reverse()) {
        await close();
    }
});

async function openPair(answer: AnswerRaw): Promise<SessionPair & { server: RawServer; }> {
    const server = await startRawServer(answer);
    const pair = await startSessionPair(server.port, takeTestPort());
    closers.push(() => server.close(), pair.close);
    return { ...pair, server };
}

const once = { kind: RequestKind.AtMostOnce, method: "POST" } as const;

describe("a connection that is lost", () => {
    it("loses no request: the answer comes over the next connection, and the server ran it once", async () => {
        const { proxy: link, server, session } = await openPair((socket, id) => {
            setTimeout(() => socket.write(formatAnswer(id, "ok")), 200);
        });
        const request = recordRequest(() => handle.proceed());
        const handle = session.submit(createOwnedRequest("a", once), request.listener);
        await expect.poll(() => server.requests.length).toBe(1);
        link.resetAll();
        expect(await request.end).toBe("answer 200 ok");
        expect(server.requests.length).toBe(1);
    });

    it("sends a request that was not received again, with the time that is left", async () => {
        const { proxy: link, server, session } = await openPair((socket, id) => socket.write(formatAnswer(id, "ok")));
        link.setRefusing(true);
        link.resetAll();
        const request = recordRequest();
        session.submit(createOwnedRequest("a", { budgetLeftMs: 2_000 }), request.listener);
        await new Promise(resolve => setTimeout(resolve, 150));
        link.setRefusing(false);
        expect(await request.end).toBe("answer 200 ok");
        expect(Number(/x-time-left: (\d+)/.exec(server.requests[0] ?? "")?.[1])).toBeLessThan(1_900);
    });

    it("is noticed when it is silent, and a request that may run once is taken back truthfully", async () => {
        const { proxy: link, server, session } = await openPair((socket, id) => socket.write(formatAnswer(id, "ok")));
        link.silence(Silence.Both);
        const request = recordRequest(() => handle.proceed());
        const handle = session.submit(createOwnedRequest("a", once), request.listener);
        expect(await request.end).toBe("refused daemon-unreachable");
        link.silence(Silence.None);
        await waitUntil(() => session.isUsable(performance.now()));
        await new Promise(resolve => setTimeout(resolve, 200));
        expect(server.requests).toEqual([]);
    });

    it("lets a repeatable request be placed elsewhere when the owner is silent", async () => {
        const { proxy: link, session } = await openPair(() => undefined);
        link.silence(Silence.Both);
        const request = recordRequest();
        session.submit(createOwnedRequest("a"), request.listener);
        await waitUntil(() => request.events.includes("stalled"));
    });
});

describe("a session that is asked to connect again", () => {
    it("opens no second connection while the first waits for its welcome", async () => {
        const { proxy: link, session } = await openPair(() => undefined);
        link.setDelay(100);
        const before = link.countConnections();
        link.resetAll();
        for (let index = 0; index < 20; index++) {
            session.reconnect();
            await new Promise(resolve => setTimeout(resolve, 15));
        }
        await waitUntil(() => session.isUsable(performance.now()));
        expect(link.countConnections() - before).toBe(1);
    });
});

describe("an owner that ends", () => {
    it("leaves a request unknown that it may have started", async () => {
        const { crashOwner, proxy: link, server, session } = await openPair(() => undefined);
        const request = recordRequest(() => handle.proceed());
        const handle = session.submit(createOwnedRequest("a", once), request.listener);
        await expect.poll(() => server.requests.length).toBe(1);
        await crashOwner();
        await link.close();
        expect(await request.end).toBe("unknown");
    });
});

describe("a daemon at the address of another one", () => {
    it("takes no requests that were meant for the other one", async () => {
        const server = await startRawServer(() => undefined);
        const gate = createAdmissionController(server.port);
        const port = takeTestPort();
        const hub = createSessionManager(createMember("newcomer", port), gate);
        await hub.start("127.0.0.1", port);
        const other = createSessionManager(createMember("caller", 1), gate);
        other.connect(createMember("former", port));
        other.connect(createMember("newcomer", port));
        closers.push(() => server.close(), () => hub.stop(), () => other.stop());
        await waitUntil(() => other.getOwnerSession("newcomer")?.isUsable(performance.now()) === true);
        await new Promise(resolve => setTimeout(resolve, 300));
        expect(other.getOwnerSession("former")?.isUsable(performance.now())).toBe(false);
        expect(other.getOwnerSession("newcomer")?.isUsable(performance.now())).toBe(true);
    });
});
