import { describe, expect, it } from "vitest";
import { shouldWatchStore } from "../../index.js";

const region = Array.from({ length: 10 }, (_value, index) => ({ id: `daemon-${index}` }));

function listWatchers(reachable: readonly { readonly id: string; }[], isOtherWatching: boolean): string[] {
    return reachable.map(({ id }) => id).filter(selfId => shouldWatchStore({ isOtherWatching, reachable, selfId }));
}

// Guards against a region without a store watch, and against one store watch for each daemon.
describe("store watchers", () => {
    it("are one daemon of a region while a watch works", () => {
        expect(listWatchers(region, true).length).toBe(1);
    });

    it("are the next-ranked daemon when the first is unreachable", () => {
        const [first] = listWatchers(region, true);
        const rest = region.filter(({ id }) => id !== first);
        expect(listWatchers(rest, true).length).toBe(1);
        expect(listWatchers(rest, true)).not.toEqual([first]);
    });

    it("are all daemons that know of no other working watch", () => {
        expect(listWatchers(region, false).length).toBe(region.length);
        expect(shouldWatchStore({ isOtherWatching: false, reachable: [], selfId: "alone" })).toBe(true);
    });
});
