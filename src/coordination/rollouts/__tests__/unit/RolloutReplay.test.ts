/**
 * Replays of roll-outs without a network. Guard against a test of answers that keeps bad versions or rolls good ones back, and
 * against an exposure above the bound, for services with few and with many requests.
 */
import { describe, expect, it } from "vitest";
import { RolloutState } from "../../index.js";
import { replayRollout } from "../fixtures/RolloutReplay.js";
import type { ReplayOptions, ReplayResult, VersionFault } from "../fixtures/RolloutReplay.js";

const FINISH_MS = 12_000;

function runSeeds(count: number, options: Omit<ReplayOptions, "seed">): readonly ReplayResult[] {
    return Array.from({ length: count }, (_value, seed) => replayRollout({ ...options, seed }));
}

function countState(results: readonly ReplayResult[], state: RolloutState): number {
    return results.filter(result => result.state === state).length;
}

const BAD_VERSIONS: Readonly<Record<string, VersionFault>> = {
    "fails at once": { failureShare: 0.35 },
    "fails late": { beginsAtMs: 5_000, failureShare: 0.4 },
    "fails on one route": { failureShare: 0.4, route: "write" },
    "fails under load": { failureShare: 0.4, fromRunning: 1 },
    "is slow": { slowFactor: 3 },
};

describe("a replayed roll-out", () => {
    for (const [name, fault] of Object.entries(BAD_VERSIONS)) {
        it(`rolls a version back that ${name}`, () => {
            const results = runSeeds(20, { fault, requestsPerSecond: 100 });
            expect(countState(results, RolloutState.RolledBack)).toBe(20);
            expect(results.filter(({ exposed, requests }) => exposed > 0.1 * requests + 50)).toEqual([]);
        });
    }

    it("rolls a bad version back where a service gets 25 requests a second over 70 daemons", () => {
        const results = runSeeds(20, { fault: { failureShare: 0.35 }, requestsPerSecond: 25 });
        expect(countState(results, RolloutState.RolledBack)).toBe(20);
    });

    for (const requestsPerSecond of [25, 300]) {
        it(`promotes a good version at ${requestsPerSecond} requests a second in time`, () => {
            const results = runSeeds(30, { requestsPerSecond });
            expect(countState(results, RolloutState.Succeeded)).toBe(30);
            expect(Math.max(...results.map(({ endedAtMs }) => endedAtMs))).toBeLessThan(FINISH_MS);
        });
    }

    it("stays within the exposure when daemons restart and reports are lost", () => {
        const results = runSeeds(30, {
            fault: { beginsAtMs: 8_000, failureShare: 0.4 },
            lostReports: 0.3,
            requestsPerSecond: 60,
            restartsPerSecond: 5,
        });
        expect(results.filter(({ exposed, requests }) => exposed > 0.1 * requests + 50)).toEqual([]);
    });

    it("rolls back a version that no server has, at the end", () => {
        const [result] = runSeeds(1, { candidatesAtMs: Infinity, requestsPerSecond: 25 });
        expect(result).toMatchObject({ exposed: 0, state: RolloutState.RolledBack });
    });
});
