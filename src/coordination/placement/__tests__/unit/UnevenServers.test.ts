/**
 * Load: servers of differing speeds on shared VMs, waves of demand that move between failure domains, clumps, and load
 * reports that are several work times old. Guards against placing that fills slow servers, or those of the own domain,
 * while others have room.
 */
import { describe, expect, it } from "vitest";
import { updateFactor } from "../../index.js";
import { ServiceReplay } from "../fixtures/ServiceReplay.js";
import type { ServicePattern } from "../fixtures/ServiceReplay.js";

const FOUR_SPEEDS = [0.55, 1.2, 1.2, 1.2];
const usual = { durationMs: 20_000, isAligned: false, load: 0.85, seed: 5, tellsFactor: true, waves: 0.55 };

function run(title: string, pattern: ServicePattern) {
    const outcome = new ServiceReplay(pattern).run();
    const { busiestOverMean, crossedShare, inTime, possibleInTime, refusedShare, sent } = outcome;
    process.stdout.write(
        `${title}: ${inTime} of ${possibleInTime} possible in time (${sent} sent), busiest ${
            busiestOverMean.toFixed(2)
        }, `
            + `refused ${refusedShare.toFixed(3)}, in other domains ${crossedShare.toFixed(2)}\n`,
    );
    return outcome;
}

describe("placement at servers that tell how long work takes", () => {
    it.each<readonly [string, Partial<ServicePattern>]>([
        ["one slow server in four", { speeds: FOUR_SPEEDS }],
        ["all slow servers in one domain", { isAligned: true, load: 0.75, speeds: FOUR_SPEEDS }],
        ["one fast server in three", { load: 0.75, speeds: [0.7, 0.7, 1.6] }],
        ["demand as high as capacity", { load: 1, speeds: FOUR_SPEEDS }],
    ])("serves 95% of what is possible in time and shares work by speed: %s", (title, fields) => {
        const outcome = run(title, { ...usual, speeds: [1], ...fields });
        expect(outcome.inTime).toBeGreaterThan(0.95 * outcome.possibleInTime);
        expect(outcome.busiestOverMean).toBeLessThan(1.15);
        expect(outcome.refusedShare).toBeLessThan(0.01);
        // The bytes of a request that was refused in another domain have been paid for once.
        expect(outcome.crossedAgain).toBe(0);
    });

    it("keeps equal servers without waves at least as even as without the factor, and most requests in their domain", () => {
        const outcome = run("equal servers", { ...usual, speeds: [1], waves: 0 });
        expect(outcome.inTime).toBeGreaterThan(0.98 * outcome.possibleInTime);
        expect(outcome.crossedShare).toBeLessThan(0.25);
    });
});

describe("placement at servers that don't tell how long work takes", () => {
    it("stays in the own domain while the target latency can be met there", () => {
        const outcome = run("equal servers that tell nothing", { ...usual, speeds: [1], tellsFactor: false, waves: 0 });
        expect(outcome.inTime).toBeGreaterThan(0.98 * outcome.possibleInTime);
        expect(outcome.crossedShare).toBeLessThan(0.01);
    });
});

describe("a work factor", () => {
    it("counts half after half a second, however often it was passed on", () => {
        expect(updateFactor(3, 500)).toBeCloseTo(2);
        expect(updateFactor(updateFactor(3, 200), 300)).toBeCloseTo(2);
        expect(updateFactor(0.5, 60_000)).toBeCloseTo(1);
    });
});
