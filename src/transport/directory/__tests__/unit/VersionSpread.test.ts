import { Right } from "purify-ts/Either";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { deriveFreshnessLimits, selectNeighbours, VersionLag } from "../../../../coordination/distribution/index.js";
import { encodeSessionMessage } from "../../../../protocol/session/index.js";
import type { SessionMessage } from "../../../../protocol/session/index.js";
import type { Member } from "../../../../state/members/index.js";
import { MemberTable } from "../../../../state/members/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import type { MeshStorePort } from "../../../../state/store/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { createMember } from "../../../sessions/__tests__/fixtures/SessionManagers.js";
import { realTimers } from "../../../timers/index.js";
import { computeDistance } from "../../../traffic/index.js";
import { ConfigurationManager } from "../../index.js";

const DOMAINS = ["erie-a", "erie-b", "superior-a", "superior-b"] as const;
/** Link of a weak VM, 8.4 Mbit/s. */
const LINK_BYTES_PER_MS = 1_050;
const LATENCY_MS = { "other-region": 12, "same-region": 0.9 } as const;
/** Time in which each daemon has to use a version. */
const DEADLINE_MS = 3_000;
/** Time in which a cancellation, which waits behind the copies on the same link, has to reach a server. */
const CANCELLATION_DEADLINE_MS = 500;
/** Bytes that a change of one route may take on the link of each VM. */
const ONE_ROUTE_LIMIT_BYTES = 2_000;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setInterval", "clearInterval", "setTimeout", "clearTimeout", "performance"] });
});

afterEach(() => {
    vi.useRealTimers();
});

function createDaemonRecord(index: number): Member {
    const failureDomain = DOMAINS[index % DOMAINS.length] as string;
    return { ...createMember(`daemon-${index}`, 7_000), failureDomain, region: failureDomain.slice(0, -2) };
}

/** Text of a version with random names, which compresses like a real one. */
function generateText(routes: number): string {
    const random = createSeededRandom(routes);
    const generateName = () => Math.floor(random() * 36 ** 7).toString(36);
    const paths = Array.from({ length: routes }, () => ({
        Attempts: 3,
        Kind: "idempotent",
        Name: `r-${generateName()}`,
        PathPrefix: `/${generateName()}/${generateName()}/`,
        Priority: 2,
        Service: "ledger",
        TargetLatencyS: 0.8,
        TimeoutS: 1.5,
    }));
    return JSON.stringify(paths);
}

interface SpreadNetwork {
    /** Puts a version in force at the daemons that watch the store. */
    publish(version: number, text: string): void;
    countUsing(version: number): number;
    /** Longest time for which a message has waited until its link had sent it. */
    readLongestWait(): number;
    /** Bytes of versions that a daemon has received on average. */
    readReceivedBytes(): number;
    stop(): void;
}

/**
 * Daemons whose links take one message after the other. Each has sessions with its neighbours and with all daemons of
 * its failure domain, which is the worst case: all of them learn of a version, and may ask for it, at once.
 */
function createNetwork(size: number): SpreadNetwork {
    const members = Array.from({ length: size }, (_value, index) => createDaemonRecord(index));
    const table = new MemberTable();
    members.forEach(member => table.merge(member));
    const sessions = new Map(members.map(({ failureDomain, id }) => [id, new Set(table.listRankedIds(failureDomain))]));
    for (const member of members) {
        for (const id of selectNeighbours(table, member, () => false)) {
            sessions.get(member.id)?.add(id);
            sessions.get(id)?.add(member.id);
        }
        sessions.get(member.id)?.delete(member.id);
    }
    const linkFreeAt = new Map<string, number>();
    let longestWaitMs = 0;
    let versionBytes = 0;
    const send = (from: Member, to: string, message: SessionMessage): void => {
        const now = performance.now();
        if (message.kind === "configuration" || message.kind === "configurationDifference") {
            versionBytes += encodeSessionMessage(message).length;
        }
        const departedAt = Math.max(now, linkFreeAt.get(from.id) ?? 0)
            + encodeSessionMessage(message).length / LINK_BYTES_PER_MS;
        linkFreeAt.set(from.id, departedAt);
        longestWaitMs = Math.max(longestWaitMs, departedAt - now);
        const latencyMs = LATENCY_MS[table.get(to)?.region === from.region ? "same-region" : "other-region"];
        setTimeout(() => deliver(from.id, to, message), departedAt + latencyMs - now);
    };
    const deliver = (from: string, to: string, message: SessionMessage): void => {
        const manager = managers.get(to);
        switch (message.kind) {
            case "status":
                manager?.recordStatus({ ...message, id: from });
                return;
            case "configurationRequest":
                manager?.answerRequest(from, message.baseChecksum);
                return;
            case "configuration":
                manager?.applyCompressed(message, from);
                return;
            case "configurationDifference":
                manager?.applyDifference(message, from);
        }
    };
    const managers = new Map(members.map(member => [member.id, createManager(member)]));
    function createManager(self: Member): ConfigurationManager {
        const peers = [...sessions.get(self.id) ?? []];
        return new ConfigurationManager({
            countDaemons: () => size,
            decode: ({ revision, version }) => Right({ revision, version } as TrafficConfiguration),
            isRegistered: () => true,
            isSameRegion: id => table.get(id)?.region === self.region,
            lag: new VersionLag(),
            listReachable: () => peers.map(id => ({ distance: computeDistance(self, table.get(id) as Member), id })),
            log: createSilentLogger(),
            now: () => performance.now(),
            onChange: ({ version }) => {
                for (const id of peers) {
                    send(self, id, {
                        confirmation: undefined,
                        kind: "status",
                        membersDigest: 0,
                        sentAt: 0,
                        version,
                        watches: [],
                    });
                }
            },
            onStoreRead: () => undefined,
            onConfirmed: () => undefined,
            onWatchChanged: () => undefined,
            limits: deriveFreshnessLimits(2_000),
            linkBytesPerMs: LINK_BYTES_PER_MS,
            timers: realTimers,
            random: createSeededRandom(members.indexOf(self)),
            readReceivedBytes: () => 0,
            requestConfiguration: (id, baseChecksum) => send(self, id, { baseChecksum, kind: "configurationRequest" }),
            requestStatus: () => false,
            selfId: self.id,
            sendConfiguration: (id, configuration) => send(self, id, { ...configuration, kind: "configuration" }),
            sendDifference: (id, difference) => send(self, id, { ...difference, kind: "configurationDifference" }),
            store: {
                readConfiguration: () => new Promise(() => undefined),
                readReceivedBytes: () => 0,
            } as Partial<MeshStorePort> as MeshStorePort,
        });
    }
    managers.forEach(manager => manager.start());
    return {
        countUsing: version => [...managers.values()].filter(({ text }) => text?.version === version).length,
        readLongestWait: () => longestWaitMs,
        readReceivedBytes: () => versionBytes / size,
        publish: (version, text) => {
            for (const region of ["erie", "superior"]) {
                const watcher = members.find(member => member.region === region);
                managers.get(watcher?.id ?? "")?.applyVersion({ revision: version, text, version }, "store");
            }
        },
        stop: () => managers.forEach(manager => manager.stop()),
    };
}

/** Guards against a few slow links that carry the copies for all others, so that versions and cancellations are late. */
describe("a version of the configuration", () => {
    it.each([
        [86, 1_120],
        [86, 2_520],
        [195, 1_120],
    ])(
        "reaches all %i daemons in time and occupies no link for long, with %i routes and one watcher a region",
        async (size, routes) => {
            const network = createNetwork(size);
            network.publish(1, generateText(routes));
            await vi.advanceTimersByTimeAsync(DEADLINE_MS);
            expect(network.countUsing(1)).toBe(size);
            expect(network.readLongestWait()).toBeLessThan(CANCELLATION_DEADLINE_MS);
            network.stop();
        },
    );

    it("costs each daemon bytes in proportion to what has changed", async () => {
        const network = createNetwork(86);
        const text = generateText(1_120);
        network.publish(1, text);
        await vi.advanceTimersByTimeAsync(DEADLINE_MS);
        const before = network.readReceivedBytes();
        network.publish(2, text.replace("\"ledger\"", "\"workroom\""));
        await vi.advanceTimersByTimeAsync(DEADLINE_MS);
        expect(network.countUsing(2)).toBe(86);
        expect(network.readReceivedBytes() - before).toBeLessThan(ONE_ROUTE_LIMIT_BYTES);
        network.stop();
    });
});
