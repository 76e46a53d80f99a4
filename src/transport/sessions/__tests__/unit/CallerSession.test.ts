import { describe, expect, it } from "vitest";
import { FrameQueue } from "../../../../protocol/peer/index.js";
import type { FrameConnection } from "../../../../protocol/peer/index.js";
import type { SessionMessage } from "../../../../protocol/session/index.js";
import { createOwnedRequest, createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { UplinkSender } from "../../../uplink/index.js";
import { CallerSession } from "../../CallerSession.js";
import { createMember } from "../fixtures/SessionManagers.js";

const LOAD = {
    coldLeftMs: 0,
    isOpen: true,
    queued: 0,
    running: 0,
    slots: 2,
    waits: { inTimeMs: 0, lateMs: 0, nestedMs: 0 },
    workMs: 50,
} as const;

function createConnection(): FrameConnection {
    return { close: () => undefined, getBufferedBytes: () => 0, frames: new FrameQueue(), send: () => undefined };
}

function createHello(received: number) {
    return {
        kind: "hello",
        member: createMember("caller", 1),
        membersDigest: 0,
        received,
        version: undefined,
        server: undefined,
        sessionId: "s",
        target: "owner",
        confirmation: undefined,
        watches: [],
    } as const;
}

/** Guards against a request that runs twice because it is sent again over the next connection. */
describe("a session that continues over a second connection", () => {
    it("submits a request once when it arrives over both connections", async () => {
        const submitted: string[] = [];
        const session = new CallerSession("caller", {
            log: createSilentLogger(),
            now: () => 0,
            onConnected: () => undefined,
            onStatus: () => undefined,
            onGossip: () => undefined,
            onMembers: () => undefined,
            random: () => 0.5,
            readStatus: () => ({ confirmation: undefined, membersDigest: 0, version: undefined, watches: [] }),
            onServerIdentity: () => undefined,
            onVersion: () => undefined,
            readVersion: () => undefined,
            readLoad: () => LOAD,
            readServerIdentity: () => undefined,
            readSelf: () => createMember("owner", 2),
            uplink: new UplinkSender(undefined, () => performance.now()),
            submit: request => {
                submitted.push(request.requestId);
                return {
                    cancel: () => undefined,
                    pause: () => undefined,
                    proceed: () => undefined,
                    resume: () => undefined,
                };
            },
        });
        const [first, second] = [createConnection(), createConnection()];
        const request: SessionMessage = {
            kind: "request",
            request: createOwnedRequest("a"),
            stream: 1,
            version: undefined,
        };
        session.attach(first, createHello(0), false);
        session.attach(second, createHello(0), true);
        session.handle(first, request, 10);
        session.handle(second, request, 10);
        await new Promise(resolve => setTimeout(resolve, 20));
        expect(submitted).toEqual(["a"]);
    });
});
