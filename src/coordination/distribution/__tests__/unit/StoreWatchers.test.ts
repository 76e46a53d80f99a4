import { describe, expect, it } from "vitest";
import { StoreWatchers } from "../../index.js";
import { WATCH_REPORT_VALIDITY_MS, WATCHERS_PER_REGION, WATCHERS_PER_SMALL_REGION } from "../../StoreWatchers.js";

const LONGEST_TAKEOVER_MS = 2_500;

function createRegion(size: number): readonly string[] {
    return Array.from({ length: size }, (_value, index) => `daemon-${index}`);
}

/** Daemons of a region that exchange all their reports every `stepMs`; those that are down neither watch nor report. */
function createWatchedRegion(ids: readonly string[]) {
    const daemons = new Map(ids.map(id => {
        const watchers = new StoreWatchers(id);
        watchers.setRegion(ids);
        return [id, watchers];
    }));
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
            watching = live.filter(([, watchers]) => watchers.shouldWatch(now)).map(([id]) => id);
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
        const alone = createRegion(10).map(id => new StoreWatchers(id));
        alone.forEach(watchers => {
            watchers.setRegion(createRegion(10));
            watchers.shouldWatch(0);
        });
        expect(alone.filter(watchers => watchers.shouldWatch(LONGEST_TAKEOVER_MS)).length).toBe(10);
    });
});
