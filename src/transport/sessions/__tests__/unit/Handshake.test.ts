import { afterEach, describe, expect, it } from "vitest";
import { takeTestPort } from "../../../../../standins/ports/index.js";
import { createAdmissionController } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createSessionNetwork } from "../../index.js";
import type { OwnerSession, SessionManager } from "../../index.js";
import { PING_TIMEOUT_TICKS, SESSION_TICK_MS } from "../../SessionConstants.js";
import type { LocalStatus, PeerStatus } from "../../SessionTypes.js";
import { createAgeClock, createMember, createSessionManager, waitUntil } from "../fixtures/SessionManagers.js";

const STATUS: LocalStatus = {
    confirmation: { ageMs: 40, position: { era: 0, revision: 3 } },
    membersDigest: 0,
    version: 2,
    watches: [{ ageMs: 50, id: "watcher", isWorking: true }],
};

const managers: SessionManager[] = [];

afterEach(async () => {
    await Promise.all(managers.splice(0).map(manager => manager.stop()));
});

/** Connects one daemon to another; returns the statuses that each has received first. */
async function connectPair(): Promise<{ readonly atCaller: PeerStatus; readonly atOwner: PeerStatus; }> {
    const received = { caller: [] as PeerStatus[], owner: [] as PeerStatus[] };
    const create = (id: "caller" | "owner", port: number): SessionManager => {
        const manager = createSessionManager(createMember(id, port), createAdmissionController(1), {
            onStatus: status => received[id].push(status),
            readStatus: () => STATUS,
        });
        managers.push(manager);
        return manager;
    };
    const ownerPort = takeTestPort();
    await create("owner", ownerPort).start("127.0.0.1", ownerPort);
    const caller = create("caller", 1);
    await caller.start("127.0.0.1", 0);
    caller.connect(createMember("owner", ownerPort));
    await waitUntil(() => received.caller.length > 0 && received.owner.length > 0);
    return { atCaller: received.caller[0] as PeerStatus, atOwner: received.owner[0] as PeerStatus };
}

/** Guards against a daemon that watches the store at its start, since it doesn't know yet who does. */
describe("the handshake of a session", () => {
    it("tells the side that connects of confirmations and watches, at most as young as they are", async () => {
        const { confirmation, watches } = (await connectPair()).atCaller;
        expect(confirmation?.ageMs).toBeGreaterThan(40);
        expect(watches.map(({ id }) => id)).toEqual(["watcher"]);
        expect(watches[0]?.ageMs).toBeGreaterThan(50);
    });

    it("tells neither to the other side, which can't know how long the first message has waited", async () => {
        const { confirmation, version, watches } = (await connectPair()).atOwner;
        expect({ confirmation, version, watches }).toEqual({ confirmation: undefined, version: 2, watches: [] });
    });
});

/** Guards against a version that counts as confirmed since the VM was suspended while the answer was on its way. */
describe("a status that was asked for", () => {
    const SUSPENDED_MS = 2_000;

    it("is as old as its question, also when the VM was suspended meanwhile", async () => {
        const statuses: PeerStatus[] = [];
        let suspendedMs = 0;
        const now = (): number => performance.now();
        const ownerPort = takeTestPort();
        const owner = createSessionManager(createMember("owner", ownerPort), createAdmissionController(1), {
            readStatus: () => STATUS,
        });
        const caller = createSessionManager(createMember("caller", 1), createAdmissionController(1), {
            ageClock: createAgeClock(now, () => now() + suspendedMs),
            onStatus: status => statuses.push(status),
        });
        managers.push(owner, caller);
        await owner.start("127.0.0.1", ownerPort);
        await caller.start("127.0.0.1", 0);
        caller.connect(createMember("owner", ownerPort));
        await waitUntil(() => caller.requestStatus("owner"));
        suspendedMs = SUSPENDED_MS;
        const before = statuses.length;
        await waitUntil(() => statuses.length > before);
        expect(statuses[before]?.confirmation?.ageMs).toBeGreaterThan(40 + SUSPENDED_MS);
    });
});

/** Guards against a daemon that gives up a session since it was held itself, while the answer lies in its socket. */
describe("a session whose daemon was held while it waited for an answer", () => {
    it("is used on, and ended only if the other daemon stays silent", async () => {
        const HELD_MS = 5_000;
        let heldMs = 0;
        const now = (): number => performance.now() + heldMs;
        const ownerPort = takeTestPort();
        const owner = createSessionManager(createMember("owner", ownerPort), createAdmissionController(1));
        const caller = createSessionManager(createMember("caller", 1), createAdmissionController(1), { now });
        managers.push(owner, caller);
        await owner.start("127.0.0.1", ownerPort);
        caller.connect(createMember("owner", ownerPort));
        await waitUntil(() => caller.requestStatus("owner"));
        const session = caller.getOwnerSession("owner") as OwnerSession;
        heldMs = HELD_MS;
        session.tick(now());
        expect(session.isUsable(now())).toBe(true);
        // Nothing is read in between, as from a daemon that is silent.
        for (let tick = 0; tick < PING_TIMEOUT_TICKS; tick++) {
            session.tick(now());
        }
        expect(session.isUsable(now())).toBe(false);
    });
});

/** Guards against sessions that are given up and opened anew while a large answer takes their link. */
describe("a session whose ping is unanswered", () => {
    it("is used on while parts of a message arrive, and ended once nothing does", async () => {
        let waitedMs = 0;
        let receivedBytes = 0;
        const now = (): number => performance.now() + waitedMs;
        const network = createSessionNetwork();
        const ownerPort = takeTestPort();
        const owner = createSessionManager(createMember("owner", ownerPort), createAdmissionController(1));
        const caller = createSessionManager(createMember("caller", 1), createAdmissionController(1), {
            network: {
                ...network,
                connect: async (address, port) => ({
                    ...await network.connect(address, port),
                    getReceivedBytes: () => receivedBytes,
                }),
            },
            now,
        });
        managers.push(owner, caller);
        await owner.start("127.0.0.1", ownerPort);
        caller.connect(createMember("owner", ownerPort));
        await waitUntil(() => caller.requestStatus("owner"));
        const session = caller.getOwnerSession("owner") as OwnerSession;
        // The test holds the event loop from here on, so that no answer is read.
        const runTicks = (partBytes: number): boolean => {
            for (let tick = 0; tick <= PING_TIMEOUT_TICKS; tick++) {
                waitedMs += SESSION_TICK_MS;
                receivedBytes += partBytes;
                session.tick(now());
            }
            return session.isUsable(now());
        };
        expect([runTicks(1_000), runTicks(0)]).toEqual([true, false]);
    });
});
