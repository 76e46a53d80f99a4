import { describe, expect, it } from "vitest";
import { VersionFreshness } from "../../index.js";

function createPosition(revision: number) {
    return { era: 0, revision };
}

/** Guards against a version that counts as the newest although nobody has asked the store for long. */
describe("the freshness of the version in force", () => {
    it("counts from the start until the first confirmation, which is not passed on", () => {
        const freshness = new VersionFreshness(100);
        expect(freshness.readAgeMs(700)).toBe(600);
        expect(freshness.readConfirmation(700)).toBeUndefined();
    });

    it("is that of the latest moment, in whichever order the confirmations arrive", () => {
        const freshness = new VersionFreshness(0);
        expect(freshness.recordConfirmation(createPosition(7), 500)).toBe(true);
        expect(freshness.recordConfirmation(createPosition(5), 300)).toBe(false);
        expect(freshness.readConfirmation(600)).toEqual({ ageMs: 100, position: createPosition(7) });
    });

    it("keeps its age without a position that the store no longer knows", () => {
        const freshness = new VersionFreshness(0);
        freshness.recordConfirmation(createPosition(7), 500);
        freshness.removePosition();
        expect(freshness.position).toBeUndefined();
        expect(freshness.readAgeMs(800)).toBe(300);
    });
});
