import { describe, expect, it } from "vitest";
import { runHistory } from "../search/SimulatedMesh.js";

/** Change after which a mesh plays for 5 s or 14 s in all: its deadline and the tail follow it. */
const CHANGES_MS = [1_800, 10_800];
const SEEDS = [1, 2, 3, 4];
const CASES = CHANGES_MS.flatMap(firstChangeMs => SEEDS.map(seed => ({ firstChangeMs, seed })));

/** Guards against daemons that go on watching the store, at its price, after the daemons of their region know each other. */
describe("the watches of the store in a region of six daemons", () => {
    it.each(CASES)("are two after a change at $firstChangeMs ms, with seed $seed", async ({ firstChangeMs, seed }) => {
        const { violations, watching } = await runHistory({
            daemonsPerDomain: 2,
            deadlineMs: 2_000,
            domainsPerRegion: 3,
            faults: [],
            firstChangeMs,
            isFirstStart: false,
            regions: 1,
            seed,
            versionGapsMs: [0],
            weakShare: 0,
            weakness: 1,
        });
        expect({ violations, watching }).toEqual({ violations: [], watching: 2 });
    });
});
