import { describe, expect, it } from "vitest";
import { shouldWatchStore } from "../../index.js";

const region = Array.from({ length: 10 }, (_value, index) => ({ id: `daemon-${index}` }));

function listWatchers(reachable: readonly { readonly id: string; }[], isOtherWatching: boolean): string[] {
    return reachable.map(({ id }) => id).filter(selfId => shouldWatchStore({ isOtherWatching, reachable, selfId }));
}

describe("who watches the store", () => {
    it("is one daemon of a region while a watch works", () => {
        expect(listWatchers(region, true).length).toBe(1);
    });

    it("is the next one when the first can't be reached", () => {
        const [first] = listWatchers(region, true);
        const rest = region.filter(({ id }) => id !== first);
        expect(listWatchers(rest, true).length).toBe(1);
        expect(listWatchers(rest, true)).not.toEqual([first]);
    });

    it("is each daemon that hears of no working watch", () => {
        expect(listWatchers(region, false).length).toBe(region.length);
        expect(shouldWatchStore({ isOtherWatching: false, reachable: [], selfId: "alone" })).toBe(true);
    });
});
