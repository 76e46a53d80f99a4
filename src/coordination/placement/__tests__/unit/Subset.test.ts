import { describe, expect, it } from "vitest";
import { Distance, MAXIMUM_EXTRA_SERVERS, selectSubset } from "../../index.js";
import type { ServersByDistance } from "../../index.js";

function createServers(near: number, region: number, other: number): ServersByDistance {
    const list = (name: string, count: number) => Array.from({ length: count }, (_value, index) => `${name}-${index}`);
    return {
        [Distance.SameDomain]: list("near", near),
        [Distance.SameRegion]: list("region", region),
        [Distance.OtherRegion]: list("other", other),
    };
}

/** Largest number of daemons that select one of the servers, relative to the mean. */
function computeSpread(servers: ServersByDistance, daemons: number): number {
    const sessions = new Map<string, number>();
    for (let index = 0; index < daemons; index++) {
        const query = { extra: 0, isExcluded: () => false, position: index / daemons };
        for (const id of selectSubset(servers, query).filter(name => name.startsWith("near"))) {
            sessions.set(id, (sessions.get(id) ?? 0) + 1);
        }
    }
    const counts = servers[Distance.SameDomain].map(id => sessions.get(id) ?? 0);
    return Math.max(...counts) / (counts.reduce((sum, count) => sum + count, 0) / counts.length);
}

// Guards against servers to which many daemons keep sessions while others of their service get none.
describe("a subset", () => {
    it.each([
        { daemons: 24, servers: 11 },
        { daemons: 24, servers: 3 },
        { daemons: 1_400, servers: 200 },
        { daemons: 1_400, servers: 9 },
    ])("of $servers servers in $daemons daemons spreads sessions evenly", ({ daemons, servers }) => {
        expect(computeSpread(createServers(servers, 0, 0), daemons)).toBeLessThanOrEqual(1.25);
    });

    it.each([20, 200, 2_000, 18_000])(
        "has at most ten servers in a service of %d, and eight more when widened",
        size => {
            const servers = createServers(size, size, size);
            const query = { extra: 0, isExcluded: () => false, position: 0.3 };
            expect(selectSubset(servers, query).length).toBeLessThanOrEqual(10);
            const widened = selectSubset(servers, { ...query, extra: 1_000 });
            expect(widened.length).toBeLessThanOrEqual(10 + MAXIMUM_EXTRA_SERVERS);
        },
    );

    it("takes servers of other domains and regions when its own have none", () => {
        const query = { extra: 0, isExcluded: () => false, position: 0.5 };
        expect(selectSubset(createServers(0, 0, 9), query).length).toBeGreaterThanOrEqual(6);
        expect(selectSubset(createServers(0, 9, 9), query).filter(id => id.startsWith("region")).length).toBe(3);
    });

    it("replaces servers that can't be reached by their successors", () => {
        const servers = createServers(20, 0, 0);
        const usual = selectSubset(servers, { extra: 0, isExcluded: () => false, position: 0 });
        const excluded = new Set(usual.slice(0, 3));
        const selected = selectSubset(servers, { extra: 0, isExcluded: id => excluded.has(id), position: 0 });
        expect(selected.length).toBe(usual.length);
        expect(selected.filter(id => excluded.has(id))).toEqual([]);
    });
});
