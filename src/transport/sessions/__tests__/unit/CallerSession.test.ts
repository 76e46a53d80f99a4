import { describe, expect, it } from "vitest";
import { FrameQueue } from "../../../../protocol/peer/index.js";
import type { FrameConnection } from "../../../../protocol/peer/index.js";
import type { SessionMessage } from "../../../../protocol/session/index.js";
import { createOwnedRequest, createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { realTimers } from "../../../timers/index.js";
import { UplinkSender } from "../../../uplink/index.js";
import { CallerSession } from "../../CallerSession.js";
import type { PeerStatus } from "../../SessionTypes.js";
import { createAgeClock, createMember } from "../fixtures/SessionManagers.js";

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
    return {
        close: () => undefined,
        getBufferedBytes: () => 0,
        getReceivedBytes: () => 0,
        frames: new FrameQueue(),
        send: () => undefined,
    };
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

interface SessionCalls {
    readonly statuses: PeerStatus[];
    readonly submitted: string[];
}

function createCallerSession(
    { statuses, submitted }: SessionCalls,
    now: () => number,
    readWallClock = now,
): CallerSession {
    return new CallerSession("caller", {
        ageClock: createAgeClock(now, readWallClock),
        log: createSilentLogger(),
        now,
        onConnected: () => undefined,
        onGossip: () => undefined,
        onMembers: () => undefined,
        onServerIdentity: () => undefined,
        onStatus: status => statuses.push(status),
        onVersion: () => undefined,
        random: () => 0.5,
        readLoad: () => LOAD,
        readSelf: () => createMember("owner", 2),
        readServerIdentity: () => undefined,
        readStatus: () => ({ confirmation: undefined, membersDigest: 0, version: undefined, watches: [] }),
        readVersion: () => undefined,
        submit: request => {
            submitted.push(request.requestId);
            return {
                cancel: () => undefined,
                pause: () => undefined,
                proceed: () => undefined,
                resume: () => undefined,
            };
        },
        timers: realTimers,
        uplink: new UplinkSender(undefined, () => performance.now()),
    });
}

/** Guards against a request that runs twice because it is sent again over the next connection. */
describe("a session that continues over a second connection", () => {
    it("submits a request once when it arrives over both connections", async () => {
        const submitted: string[] = [];
        const session = createCallerSession({ statuses: [], submitted }, () => 0);
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

/** Guards against a version that counts as the newest since a message that said so has waited for seconds on its way. */
describe("a confirmation that another daemon passes on", () => {
    const SENT_AT = 70_000;
    const CONFIRMED_AGE_MS = 100;
    const WATCH_AGE_MS = 200;

    function createPing(sentAt: number, roundTripMs: number | undefined): SessionMessage {
        return {
            confirmation: { ageMs: CONFIRMED_AGE_MS, position: { era: 0, revision: 5 } },
            kind: "ping",
            membersDigest: 0,
            received: 0,
            roundTripMs,
            sentAt,
            version: 4,
            watches: [
                { ageMs: WATCH_AGE_MS, id: "working", isWorking: true },
                { ageMs: WATCH_AGE_MS, id: "failed", isWorking: false },
            ],
        };
    }

    interface ReceivedPing {
        readonly ping: SessionMessage;
        readonly receivedAt: number;
        /** Time for which the receiving VM has been suspended before. */
        readonly suspendedMs?: number;
    }

    /** Receives pings of a daemon with another clock; returns the statuses that they pass on. */
    function listStatuses(pings: readonly ReceivedPing[]) {
        const statuses: PeerStatus[] = [];
        let now = 0;
        let suspended = 0;
        const session = createCallerSession({ statuses, submitted: [] }, () => now, () => now + suspended);
        const connection = createConnection();
        session.attach(connection, createHello(0), false);
        for (const { ping, receivedAt, suspendedMs = 0 } of pings) {
            now = receivedAt;
            suspended = suspendedMs;
            session.handle(connection, ping, 10);
        }
        return statuses;
    }

    const UNKNOWN_TRANSIT = [{ ping: createPing(SENT_AT, undefined), receivedAt: 1_000 }];
    const SECOND_WAITS = [
        { ping: createPing(SENT_AT, 3), receivedAt: 1_000 },
        { ping: createPing(SENT_AT + 500, 3), receivedAt: 4_000 },
    ];

    it("is as old as the connection at most while no round trip is known", () => {
        expect(listStatuses(UNKNOWN_TRANSIT).map(({ confirmation }) => confirmation?.ageMs)).toEqual([
            CONFIRMED_AGE_MS + 1_000,
        ]);
    });

    it("gets older by the time for which its message waited", () => {
        expect(listStatuses(SECOND_WAITS).map(({ confirmation }) => confirmation?.ageMs)).toEqual([
            CONFIRMED_AGE_MS + 3,
            CONFIRMED_AGE_MS + 2_503,
        ]);
    });

    it("gets older by the time for which its message waited while the VM was suspended", () => {
        const statuses = listStatuses([
            { ping: createPing(SENT_AT, 3), receivedAt: 1_000 },
            { ping: createPing(SENT_AT + 500, 3), receivedAt: 1_500, suspendedMs: 2_000 },
        ]);
        expect(statuses.map(({ confirmation }) => confirmation?.ageMs)).toEqual([
            CONFIRMED_AGE_MS + 3,
            CONFIRMED_AGE_MS + 2_003,
        ]);
    });

    // Guards against daemons that pass on for ever that a watch works, each time as if they had just heard of it.
    it("leaves the report of a working watch as old as it may be", () => {
        expect(listStatuses(UNKNOWN_TRANSIT).map(({ watches }) => watches.map(({ ageMs }) => ageMs))).toEqual([
            [WATCH_AGE_MS + 1_000, WATCH_AGE_MS + 1_000],
        ]);
        expect(listStatuses(SECOND_WAITS).map(({ watches }) => watches.map(({ ageMs }) => ageMs))).toEqual([
            [WATCH_AGE_MS + 3, WATCH_AGE_MS + 3],
            [WATCH_AGE_MS + 2_503, WATCH_AGE_MS + 2_503],
        ]);
    });
});
