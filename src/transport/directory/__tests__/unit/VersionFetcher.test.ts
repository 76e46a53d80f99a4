import { describe, expect, it } from "vitest";
import { VersionLag } from "../../../../coordination/distribution/index.js";
import { Distance } from "../../../../coordination/placement/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { FETCH_RETRY_MS } from "../../DirectoryConstants.js";
import { VersionFetcher } from "../../index.js";
import type { ReachablePeer } from "../../index.js";

const CHECK_INTERVAL_MS = 100;
/** Time in which each daemon has to use a version. */
const DEADLINE_MS = 3_000;
/** Rate of readings that the store allows on the smallest deployments. */
const STORE_READS_PER_SECOND = 2_000;

const PEERS: readonly ReachablePeer[] = [
    { distance: Distance.SameDomain, id: "near-1" },
    { distance: Distance.SameDomain, id: "near-2" },
    { distance: Distance.SameDomain, id: "near-3" },
    { distance: Distance.OtherRegion, id: "far" },
];

interface Fetch {
    readonly at: number;
    readonly source: string;
}

/** Runs the checks of a daemon that gets no answer from `peers`, all of which have a newer version. */
function runLateDaemon(
    peers: readonly ReachablePeer[],
    durationMs: number,
    seed = 1,
    daemons = 4,
    isStoreSilent = false,
): readonly Fetch[] {
    const fetches: Fetch[] = [];
    let now = 0;
    const lag = new VersionLag();
    lag.recordOwn(1);
    const fetcher = new VersionFetcher({
        countDaemons: () => daemons,
        isVersionOverdue: () => false,
        isWatching: () => false,
        lag,
        listReachable: () => peers,
        log: createSilentLogger(),
        random: createSeededRandom(seed),
        readStore: onAnswered => {
            fetches.push({ at: now, source: "store" });
            if (!isStoreSilent) {
                onAnswered();
            }
        },
        requestConfiguration: id => fetches.push({ at: now, source: id }),
    });
    fetcher.fetchIfBehind(now);
    peers.forEach(({ id }) => lag.recordPeer(id, 2, now));
    for (; now <= durationMs; now += CHECK_INTERVAL_MS) {
        fetcher.fetchIfBehind(now);
    }
    return fetches;
}

/** Guards against a daemon that waits for one source that doesn't send its copy. */
describe("a daemon that gets no copy of a version", () => {
    it("asks one daemon at first, and then two at once, not the same one twice in a row", () => {
        const rounds = new Map<number, string[]>();
        for (const { at, source } of runLateDaemon(PEERS, 1_500).filter(({ source }) => source !== "store")) {
            rounds.set(at, [...rounds.get(at) ?? [], source]);
        }
        const sources = [...rounds.values()];
        expect(sources.map(({ length }) => length)).toEqual([1, 1, 2, 2, 2, 2]);
        sources.slice(1).forEach((round, index) => expect(round[0]).not.toBe(sources[index]?.[0]));
    });

    it("asks one daemon at a time while versions follow each other and their copies arrive", () => {
        const asked: Fetch[] = [];
        let now = 0;
        const lag = new VersionLag();
        lag.recordOwn(1);
        const fetcher = new VersionFetcher({
            countDaemons: () => 4,
            isVersionOverdue: () => false,
            isWatching: () => false,
            lag,
            listReachable: () => PEERS,
            log: createSilentLogger(),
            random: createSeededRandom(1),
            readStore: () => asked.push({ at: now, source: "store" }),
            requestConfiguration: id => asked.push({ at: now, source: id }),
        });
        for (let version = 2; now <= DEADLINE_MS; now += CHECK_INTERVAL_MS) {
            if (now % FETCH_RETRY_MS === 0) {
                lag.recordOwn(version - 1);
                version++;
                PEERS.forEach(({ id }) => lag.recordPeer(id, version, now));
            }
            fetcher.fetchIfBehind(now);
        }
        expect(asked.map(({ source }) => source)).not.toContain("store");
        expect(new Set(asked.map(({ at }) => at)).size).toBe(asked.length);
    });

    it("has asked a daemon of another region and the store well before the version has to be used", () => {
        const found = [1, 2, 3, 4, 5, 6, 7, 8].map(seed => {
            const early = runLateDaemon(PEERS, DEADLINE_MS - 1_000, seed).map(({ source }) => source);
            return { far: early.includes("far"), store: early.includes("store") };
        });
        expect(found.filter(({ store }) => store)).toHaveLength(8);
        expect(found.filter(({ far }) => far).length).toBeGreaterThanOrEqual(6);
    });

    it("reads the store at once when the version is overdue, though it has just learned of it", () => {
        const readings: number[] = [];
        let now = 0;
        const lag = new VersionLag();
        lag.recordOwn(1);
        const fetcher = new VersionFetcher({
            countDaemons: () => 300,
            isVersionOverdue: () => now >= 500,
            isWatching: () => false,
            lag,
            listReachable: () => PEERS,
            log: createSilentLogger(),
            random: () => 0.5,
            readStore: () => readings.push(now),
            requestConfiguration: () => undefined,
        });
        fetcher.fetchIfBehind(now);
        PEERS.forEach(({ id }) => lag.recordPeer(id, 2, now));
        for (; now <= 800; now += CHECK_INTERVAL_MS) {
            fetcher.fetchIfBehind(now);
        }
        expect(readings).toEqual([500]);
    });

    it("reads the store when no daemon with the version can be reached any more", () => {
        let readings = 0;
        const lag = new VersionLag();
        lag.recordOwn(1);
        lag.recordPeer("gone", 2, 0);
        const fetcher = new VersionFetcher({
            countDaemons: () => 4,
            isVersionOverdue: () => false,
            isWatching: () => false,
            lag,
            listReachable: () => [],
            log: createSilentLogger(),
            random: () => 0,
            readStore: () => readings++,
            requestConfiguration: () => undefined,
        });
        for (let now = 0; now <= DEADLINE_MS; now += CHECK_INTERVAL_MS) {
            fetcher.fetchIfBehind(now);
        }
        expect(readings).toBeGreaterThan(0);
    });

    it("reads a silent store again within half of the deadline, however often it has left readings unanswered", () => {
        const readings = runLateDaemon(PEERS, 30_000, 1, 4, true).filter(({ source }) => source === "store");
        const pauses = readings.slice(1).map(({ at }, index) => at - (readings[index]?.at ?? 0));
        expect(readings.length).toBeGreaterThan(2);
        expect(Math.max(...pauses)).toBeLessThanOrEqual(DEADLINE_MS / 2);
    });

    it("reads a store that has answered without the version ever less often", () => {
        const readings = runLateDaemon(PEERS, 30_000).filter(({ source }) => source === "store");
        expect(readings.length).toBeLessThanOrEqual(5);
    });

    it("keeps to the store's rate together with hundreds of others that are late at the same moment", () => {
        const daemons = 400;
        const readings = Array.from(
            { length: daemons },
            (_value, seed) => runLateDaemon(PEERS, 5_000, seed + 1, daemons),
        )
            .flat()
            .filter(({ source }) => source === "store");
        const perSecond = new Map<number, number>();
        for (const { at } of readings) {
            const second = Math.floor(at / 1_000);
            perSecond.set(second, (perSecond.get(second) ?? 0) + 1);
        }
        expect(readings.length).toBeGreaterThanOrEqual(daemons);
        expect(Math.max(...perSecond.values())).toBeLessThan(STORE_READS_PER_SECOND / 4);
    });
});
