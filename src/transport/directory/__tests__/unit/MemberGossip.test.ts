import { Right } from "purify-ts/Either";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { selectNeighbours } from "../../../../coordination/distribution/index.js";
import type { GossipMessage } from "../../../../protocol/session/index.js";
import type { Member } from "../../../../state/members/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import type { MeshStorePort } from "../../../../state/store/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createMember } from "../../../sessions/__tests__/fixtures/SessionManagers.js";
import { realTimers } from "../../../timers/index.js";
import { MemberGossip, MemberRegistry } from "../../index.js";

const DOMAINS = ["erie-a", "erie-b", "superior-a", "superior-b"] as const;
const STEP_MS = 50;
const PING_INTERVAL_MS = 1_000;

function createDaemonRecord(index: number): Member {
    const failureDomain = DOMAINS[index % DOMAINS.length] as string;
    return {
        ...createMember(`daemon-${index}`, 7_000),
        address: `10.0.0.${index}`,
        failureDomain,
        region: failureDomain.slice(0, -2),
    };
}

interface GossipDaemon {
    readonly id: string;
    readonly registry: MemberRegistry;
    readonly gossip: MemberGossip;
}

interface GossipNetwork {
    readonly daemons: Map<string, GossipDaemon>;
    add(self: Member, known: readonly Member[]): GossipDaemon;
    /** Plays pings between neighbours and the delivery of messages. */
    run(durationMs: number): Promise<void>;
    countMessages(): number;
}

/** Daemons that exchange gossip with their neighbours over connections that lose a share of the messages. */
function createNetwork(lossShare: number, seed: number): GossipNetwork {
    const random = createSeededRandom(seed);
    const daemons = new Map<string, GossipDaemon>();
    let inTransit: { readonly from: string; readonly to: string; readonly message: GossipMessage; }[] = [];
    let now = 0;
    let messages = 0;
    const add = (self: Member, known: readonly Member[]): GossipDaemon => {
        const registry = new MemberRegistry({
            firstListingDelayMs: 0,
            isFirstStart: false,
            log: createSilentLogger(),
            onMemberLeft: () => undefined,
            onMemberRemoved: () => undefined,
            onMemberUpdated: () => undefined,
            onRegistered: () => undefined,
            random,
            self,
            store: { listMembers: () => Promise.resolve(Right(known)) } as unknown as MeshStorePort,
            timers: realTimers,
        });
        const gossip = new MemberGossip({
            listReceivers: () => selectNeighbours(registry.table, registry.self, () => false),
            log: createSilentLogger(),
            merge: members => registry.merge(members),
            now: () => now,
            send: (to, message) => {
                messages++;
                if (random() >= lossShare) {
                    inTransit.push({ from: self.id, message, to });
                }
            },
            table: registry.table,
            timers: realTimers,
        });
        registry.merge(known);
        const daemon = { gossip, id: self.id, registry };
        daemons.set(self.id, daemon);
        return daemon;
    };
    const run = async (durationMs: number): Promise<void> => {
        for (const endAt = now + durationMs; now < endAt; now += STEP_MS) {
            await vi.advanceTimersByTimeAsync(STEP_MS);
            const delivered = inTransit;
            inTransit = [];
            for (const { from, message, to } of delivered) {
                if (
                    message.kind === "members" || message.kind === "memberDigests" || message.kind === "memberBuckets"
                ) {
                    daemons.get(to)?.gossip.handle(from, message);
                }
            }
            if (now % PING_INTERVAL_MS === 0) {
                for (const { id, registry } of daemons.values()) {
                    for (const neighbour of selectNeighbours(registry.table, registry.self, () => false)) {
                        daemons.get(neighbour)?.gossip.compareDigest(id, registry.table.getDigest());
                    }
                }
            }
        }
    };
    return { add, countMessages: () => messages, daemons, run };
}

function createStartedNetwork(size: number, lossShare: number, seed: number): GossipNetwork {
    const network = createNetwork(lossShare, seed);
    const records = Array.from({ length: size }, (_value, index) => createDaemonRecord(index));
    records.forEach(record => network.add(record, records));
    return network;
}

function countKnowing(network: GossipNetwork, isKnown: (registry: MemberRegistry) => boolean): number {
    return [...network.daemons.values()].filter(({ registry }) => isKnown(registry)).length;
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Guards against daemons that never learn of a new server, or that go on using one that has left. */
describe("member records", () => {
    it("of a new daemon reach all others within a second, with a few messages for each", async () => {
        const network = createStartedNetwork(80, 0, 1);
        const newcomer = createDaemonRecord(200);
        const sponsor = network.daemons.get("daemon-3");
        sponsor?.gossip.announce(sponsor.registry.merge([newcomer]));
        await network.run(1_000);
        expect(countKnowing(network, registry => registry.get(newcomer.id) !== undefined)).toBe(80);
        expect(network.countMessages()).toBeLessThan(80 * 12);
    });

    it.each([1, 2, 3, 4, 5])("reach all others although a third of the messages is lost (seed %d)", async seed => {
        const network = createStartedNetwork(80, 0.33, seed);
        const sponsor = network.daemons.get("daemon-3");
        const newcomers = [200, 201, 202].map(createDaemonRecord);
        newcomers.forEach(newcomer => sponsor?.gossip.announce(sponsor.registry.merge([newcomer])));
        await network.run(10_000);
        const knowsAll = (registry: MemberRegistry) => newcomers.every(({ id }) => registry.get(id) !== undefined);
        expect(countKnowing(network, knowsAll)).toBe(80);
    });

    it("of a daemon that has left stay out after a restarted daemon reads the older record in the store", async () => {
        const network = createStartedNetwork(40, 0, 9);
        const leaving = network.daemons.get("daemon-7") as GossipDaemon;
        const before = leaving.registry.self;
        leaving.gossip.announce([leaving.registry.leave()]);
        await network.run(1_000);
        const isListed = (registry: MemberRegistry) => registry.list().some(({ id }) => id === before.id);
        expect(countKnowing(network, isListed)).toBe(0);
        // A restarted daemon knows only what the store holds.
        const restarted = { ...createDaemonRecord(8), incarnation: 2 };
        const records = Array.from({ length: 40 }, (_value, index) => createDaemonRecord(index));
        network.add(restarted, records);
        await network.run(4_000);
        expect(countKnowing(network, isListed)).toBe(0);
    });

    it("of a VM that runs another service now are selected for that service", () => {
        const { registry } = createStartedNetwork(4, 0, 9).daemons.get("daemon-1") as GossipDaemon;
        const before = registry.table.rankingGeneration;
        const record = createDaemonRecord(2);
        registry.merge([{ ...record, incarnation: 2 }]);
        expect(registry.table.rankingGeneration).toBe(before);
        const server = { address: "127.0.0.1", connections: 0, port: 1, service: "workroom", slots: 0 };
        registry.merge([{ ...record, incarnation: 3, server }]);
        expect(registry.table.rankingGeneration).toBeGreaterThan(before);
    });

    it("of a daemon that returns after its stop are listed again, also when its clock was set back", async () => {
        const network = createStartedNetwork(40, 0, 9);
        const leaving = network.daemons.get("daemon-7") as GossipDaemon;
        leaving.gossip.announce([leaving.registry.leave()]);
        await network.run(1_000);
        const returned = network.add({ ...createDaemonRecord(7), incarnation: 0 }, []);
        returned.gossip.announce(returned.registry.merge([...leaving.registry.table.listAll()]));
        await network.run(4_000);
        expect(countKnowing(network, registry => registry.list().some(({ id }) => id === "daemon-7"))).toBe(40);
    });
});
