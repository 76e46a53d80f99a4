import { describe, expect, it } from "vitest";
import { DecisionAges } from "../../index.js";

/** Guards against records that don't tell whether late requests were decided by old versions or by wrong ages. */
describe("the counts of decisions by age", () => {
    it("take each age once, by its share of the deadline, and unknown ones as the oldest", () => {
        const ages = new DecisionAges(2_000);
        [0, 500, 501, 1_999, 2_000, 2_001, Infinity].forEach(ageMs => ages.record(ageMs));
        expect(ages.list().map(({ decisions, upToShare }) => [upToShare, decisions])).toEqual([
            [0.25, 2],
            [0.5, 1],
            [0.8, 0],
            [1, 2],
            [Infinity, 2],
        ]);
    });
});
