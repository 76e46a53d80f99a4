import { describe, expect, it } from "vitest";
import { deriveFreshnessLimits, StoreWatchers } from "../../index.js";
import type { RegionMember } from "../../index.js";
import { WATCH_REPORT_VALIDITY_MS, WATCHERS_PER_REGION, WATCHERS_PER_SMALL_REGION } from "../../StoreWatchers.js";

const LONGEST_TAKEOVER_MS = 2_500;
/** Time in which a version has to be in force (`ConfigDeadlineS`). */
const DEADLINE_MS = 2_000;
const LIMITS = deriveFreshnessLimits(DEADLINE_MS);

function createRegion(size: number): readonly string[] {
    return Array.from({ length: size }, (_value, index) => `daemon-${index}`);
}

/** Members of a region in `domainCount` failure domains of the same size. */
function createMembers(ids: readonly string[], domainCount = 1): readonly RegionMember[] {
    return ids.map((id, index) => ({ failureDomain: `domain-${index % domainCount}`, id }));
}

function createWatchers(id: string, members: readonly RegionMember[]): StoreWatchers {
    const watchers = new StoreWatchers(id, LIMITS.takeoverSpreadMs);
    watchers.setRegion(members);
    return watchers;
}

/** Daemons of a region that exchange all their reports every `stepMs`; those that are down neither watch nor report. */
function createWatchedRegion(ids: readonly string[], members = createMembers(ids)) {
    const daemons = new Map(ids.map(id => [id, createWatchers(id, members)]));
    let now = 0;
    const failing = new Set<string>();
    const failWatches = (ids: readonly string[]): void => {
        for (const id of ids) {
            failing.add(id);
            daemons.get(id)?.recordOwnFailure(now);
        }
    };
    const run = (durationMs: number, isDown: (id: string) => boolean = () => false, stepMs = 250): string[] => {
        let watching: string[] = [];
        for (const endAt = now + durationMs; now < endAt; now += stepMs) {
            const live = [...daemons].filter(([id]) => !isDown(id));
            watching = live.filter(([, watchers]) => watchers.shouldWatch(now, false, ids.length)).map(([id]) => id);
            watching.filter(id => !failing.has(id)).forEach(id => daemons.get(id)?.recordOwnWatch(now));
            const reports = live.flatMap(([, watchers]) => watchers.listReports(now));
            live.forEach(([, watchers]) => watchers.recordReports(reports, now));
        }
        return watching;
    };
    return { failWatches, run };
}

// Guards against a region without a store watch, and against one store watch for each daemon.
describe("store watchers", () => {
    it("are a few daemons of a region, whatever its size", () => {
        expect(createWatchedRegion(createRegion(6)).run(10_000).length).toBe(WATCHERS_PER_SMALL_REGION);
        expect(createWatchedRegion(createRegion(100)).run(10_000).length).toBe(WATCHERS_PER_REGION);
        expect(createWatchedRegion(createRegion(800)).run(4_000, undefined, 1_000).length).toBe(WATCHERS_PER_REGION);
    });

    it("are replaced by others when all of them are down, within the age of their last reports", () => {
        const region = createWatchedRegion(createRegion(100));
        const first = region.run(10_000);
        const next = region.run(WATCH_REPORT_VALIDITY_MS + LONGEST_TAKEOVER_MS, id => first.includes(id));
        expect(next.length).toBe(WATCHERS_PER_REGION);
        expect(next.filter(id => first.includes(id))).toEqual([]);
    });

    it("are replaced within a second when the store turns all of them away", () => {
        // Guards against a version that comes in force seconds late, as on a hunted day: the reports had to grow old.
        const region = createWatchedRegion(createRegion(6));
        const first = region.run(10_000);
        region.failWatches(first);
        const next = region.run(1_000, () => false, 50).filter(id => !first.includes(id));
        expect(next.length).toBeGreaterThanOrEqual(1);
    });

    it("are the first ones again after their return, and the others stop", () => {
        const region = createWatchedRegion(createRegion(100));
        const first = region.run(10_000);
        region.run(10_000, id => first.includes(id));
        expect(region.run(3_000)).toEqual(first);
    });

    it("are all daemons that know of no other working watch", () => {
        const alone = createRegion(10).map(id => createWatchers(id, createMembers(createRegion(10))));
        alone.forEach(watchers => watchers.shouldWatch(0, false, 10));
        expect(alone.filter(watchers => watchers.shouldWatch(LONGEST_TAKEOVER_MS, false, 10)).length).toBe(10);
    });

    it("are in different failure domains while there are enough", () => {
        const ids = createRegion(24);
        const members = createMembers(ids, 4);
        const watching = createWatchedRegion(ids, members).run(10_000);
        const domains = members.filter(({ id }) => watching.includes(id)).map(({ failureDomain }) => failureDomain);
        expect(new Set(domains).size).toBe(WATCHERS_PER_REGION);
    });

    it("tell each other, of all regions, while they are known to work", () => {
        const ids = createRegion(6);
        const watchers = createWatchers("daemon-0", createMembers(ids));
        watchers.recordReports([{ ageMs: 10, id: "daemon-1", isWorking: true }], 1_000);
        watchers.recordRemoteReports([
            { ageMs: 10, id: "remote-1", isWorking: true },
            { ageMs: 10, id: "remote-2", isWorking: false },
        ], 1_000);
        watchers.recordOwnWatch(1_000);
        expect(watchers.listOtherWatchers(1_100)).toEqual(["daemon-1", "remote-1"]);
        expect(watchers.listOtherWatchers(1_100 + WATCH_REPORT_VALIDITY_MS)).toEqual([]);
    });
});

/**
 * Daemons of a region whose watchers were known to work at time 0 and fall silent then; each daemon that takes over falls
 * silent too if `isSilent`. Returns the times at which the others begin to watch, of those that hear of nobody.
 */
function listTakeovers(size: number, isSilent: (place: number) => boolean): readonly number[] {
    const ids = createRegion(size);
    const members = createMembers(ids);
    const ranked = [...createRegion(size)].sort((left, right) => comparePlaces(left, right, members));
    const watching = ranked.slice(0, size >= 15 ? WATCHERS_PER_REGION : WATCHERS_PER_SMALL_REGION);
    const live = ranked.filter((id, place) => !watching.includes(id) && !isSilent(place));
    return live.map(id => {
        const watchers = createWatchers(id, members);
        watchers.recordReports(watching.map(other => ({ ageMs: 0, id: other, isWorking: true })), 0);
        for (let now = LIMITS.takeOverAfterMs;; now += 10) {
            watchers.recordLoss(now - LIMITS.takeOverAfterMs / 2);
            if (watchers.shouldWatch(now, true, size)) {
                return now;
            }
        }
    });
}

/** Compares two daemons by who waits longer to watch when nobody does. */
function comparePlaces(left: string, right: string, members: readonly RegionMember[]): number {
    const [leftMs = 0, rightMs = 0] = [left, right].map(id =>
        createWatchers(id, members).computeLossDelay(members.length)
    );
    if (leftMs !== rightMs) {
        return leftMs - rightMs;
    }
    const watchers = createWatchers(left, members);
    watchers.recordReports([{ ageMs: 0, id: right, isWorking: true }], 0);
    return watchers.hasEarlierWatcher(0) ? 1 : -1;
}

/** Guards against a region that relies on daemons that say nothing more, until a version is late everywhere. */
describe("store watchers that fall silent", () => {
    /** Time for the check interval, the reading and the copies after the last takeover. */
    const REMAINDER_MS = 0.25 * DEADLINE_MS;
    const STORE_READS_PER_SECOND = 2_000;

    it.each([6, 34, 150])("are replaced at once by the next in line, of %i", size => {
        expect(Math.min(...listTakeovers(size, () => false))).toBeLessThanOrEqual(LIMITS.takeOverAfterMs + 20);
    });

    it.each([6, 34, 150])("are replaced in time although four fifths fall silent with them, of %i", size => {
        const first = Math.min(...listTakeovers(size, place => place < 0.8 * size));
        expect(first).toBeLessThanOrEqual(DEADLINE_MS - REMAINDER_MS);
    });

    it.each([6, 34, 150])("are replaced in time by each daemon that hears of nobody, of %i", size => {
        expect(Math.max(...listTakeovers(size, () => false))).toBeLessThanOrEqual(DEADLINE_MS - REMAINDER_MS);
    });

    it("are replaced by few daemons in the time in which these are heard of, of 150", () => {
        const times = listTakeovers(150, () => false);
        expect(times.filter(at => at <= LIMITS.takeOverAfterMs + 100).length).toBeLessThanOrEqual(15);
    });

    it("are replaced at a pace that the store's rate allows, of 900 in one of two regions", () => {
        const ids = createRegion(900);
        const members = createMembers(ids);
        const delays = ids.map(id => createWatchers(id, members).computeLossDelay(1_800));
        const longest = Math.max(...delays);
        const lastSecond = delays.filter(ms => ms > longest - 1_000).length;
        // Half of the rate is for both regions.
        expect(lastSecond).toBeLessThanOrEqual(STORE_READS_PER_SECOND / 2 / 2);
    }, 20_000);

    it("count again once they are known to work after the loss", () => {
        const ids = createRegion(6);
        const watchers = createWatchers("daemon-5", createMembers(ids));
        const others = ids.filter(id => id !== "daemon-5");
        const report = (now: number) =>
            watchers.recordReports(others.map(id => ({ ageMs: 0, id, isWorking: true })), now);
        report(0);
        expect(watchers.listOtherWatchers(1_000).length).toBe(5);
        watchers.recordLoss(500);
        expect(watchers.listOtherWatchers(1_000)).toEqual([]);
        report(1_100);
        expect(watchers.listOtherWatchers(1_100).length).toBe(5);
    });
});

/** Guards against versions that are late for a whole region, since those that watch the store have links full of callers' answers. */
describe("the order of watchers with different links", () => {
    const ids = createRegion(16);
    const createLinkedMembers = (isFast: (index: number) => boolean): readonly RegionMember[] =>
        createMembers(ids, 4).map((member, index) => ({ ...member, linkMegabitsPerSecond: isFast(index) ? 100 : 4 }));

    it("begins with those that have fast links, each in another failure domain", () => {
        // Indices 4 to 7 are the second daemons of the four failure domains.
        const members = createLinkedMembers(index => index >= 4 && index < 8);
        const watching = createWatchedRegion(ids, members).run(2_000);
        expect(watching).toHaveLength(WATCHERS_PER_REGION);
        expect(watching.filter(id => !ids.slice(4, 8).includes(id))).toEqual([]);
    });

    it("goes on with weak links when there are too few fast ones", () => {
        const fast = ids[5];
        const watching = createWatchedRegion(ids, createLinkedMembers(index => ids[index] === fast)).run(2_000);
        expect(watching).toHaveLength(WATCHERS_PER_REGION);
        expect(watching).toContain(fast);
    });

    it("is that of the hashes where all links are alike or unknown", () => {
        const unknown = createWatchedRegion(ids, createMembers(ids, 4)).run(2_000);
        expect(createWatchedRegion(ids, createLinkedMembers(() => false)).run(2_000)).toEqual(unknown);
    });
});
