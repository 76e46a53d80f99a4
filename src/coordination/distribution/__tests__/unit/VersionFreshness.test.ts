import { describe, expect, it } from "vitest";
import { VersionFreshness } from "../../index.js";

function createPosition(revision: number) {
    return { era: 0, revision };
}

const OWN = 3;

/** Freshness of version `OWN`, which is in force since the start at 0. */
function createFreshness(): VersionFreshness {
    const freshness = new VersionFreshness(0);
    freshness.recordOwn(OWN);
    return freshness;
}

/** Guards against a version that counts as the newest although nobody has asked the store for long. */
describe("the freshness of the version in force", () => {
    it("counts from the start until the first confirmation, which is not passed on", () => {
        const freshness = new VersionFreshness(100);
        expect(freshness.readAgeMs(700)).toBe(600);
        expect(freshness.readConfirmation(700)).toBeUndefined();
    });

    it("is that of the latest moment, in whichever order the confirmations arrive", () => {
        const freshness = createFreshness();
        expect(freshness.recordConfirmation(OWN, createPosition(7), 500)).toBe(true);
        expect(freshness.recordConfirmation(OWN, createPosition(5), 300)).toBe(false);
        expect(freshness.readConfirmation(600)).toEqual({ ageMs: 100, position: createPosition(7) });
    });

    it("keeps its age without a position that the store no longer knows", () => {
        const freshness = createFreshness();
        freshness.recordConfirmation(OWN, createPosition(7), 500);
        freshness.removePosition();
        expect(freshness.position).toBeUndefined();
        expect(freshness.readAgeMs(800)).toBe(300);
    });
});

/** Guards against decisions by versions whose ages are younger than they are. */
describe("the age of a version", () => {
    it("is unknown before its first confirmation, however young the process is", () => {
        const freshness = createFreshness();
        expect(freshness.readVersionAgeMs(OWN, 100)).toBe(Infinity);
    });

    it("counts from before the start when the confirmation is older", () => {
        const freshness = new VersionFreshness(1_000);
        freshness.recordOwn(OWN);
        freshness.recordConfirmation(OWN, createPosition(7), 400);
        expect(freshness.readVersionAgeMs(OWN, 1_100)).toBe(700);
        expect(freshness.readAgeMs(1_100)).toBe(100);
    });

    it("is not that of a newer version, until the newer one is in force", () => {
        const freshness = createFreshness();
        freshness.recordConfirmation(OWN, createPosition(7), 100);
        expect(freshness.recordConfirmation(OWN + 2, createPosition(9), 500)).toBe(false);
        expect([OWN, OWN + 1, OWN + 2].map(version => freshness.readVersionAgeMs(version, 600))).toEqual([
            500,
            500,
            100,
        ]);
        expect(freshness.newest?.version).toBe(OWN + 2);
        freshness.recordOwn(OWN + 2);
        expect(freshness.readConfirmation(600)).toEqual({ ageMs: 100, position: createPosition(9) });
    });

    it("is that of an older version that was confirmed later, after the store has lost the newer one", () => {
        const freshness = createFreshness();
        freshness.recordConfirmation(OWN + 2, createPosition(9), 500);
        freshness.recordConfirmation(OWN, createPosition(4), 700);
        expect(freshness.newest?.version).toBe(OWN);
        expect(freshness.readVersionAgeMs(OWN + 2, 800)).toBe(100);
    });
});
