import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { computeDaemonBudget, RetryBudget } from "../../index.js";

const MESH = { ratio: 0.2, slack: 60, windowMs: 10_000 };
const DAEMONS = 13;

/** Requests that all servers of a service decline with the same chance, and that return once after a refusal. */
const SHEDDING = {
    beginsAt: 4_000,
    chance: 0.55,
    endsAt: 12_000,
    lengthMs: 16_000,
    perSecond: 290,
    returnMs: 60,
    seed: 5,
};

interface Outcome {
    readonly failed: number;
    /** Highest number of repeats in any window, over what the mesh's budget allows for that window. */
    readonly highestUse: number;
}

/** Replays the requests of one daemon; `isPreferred` tells which of them may use the whole budget. */
function replay(isPreferred: (hasReturned: boolean) => boolean): Outcome {
    const random = createSeededRandom(SHEDDING.seed);
    const budget = new RetryBudget(0);
    const arrivals: { at: number; hasReturned: boolean; }[] = [];
    for (let at = 0; at < SHEDDING.lengthMs; at += 1_000 * DAEMONS / SHEDDING.perSecond) {
        arrivals.push({ at, hasReturned: false });
    }
    const isDeclined = (at: number) => at >= SHEDDING.beginsAt && at < SHEDDING.endsAt && random() < SHEDDING.chance;
    const requests: number[] = [];
    const repeats: number[] = [];
    let failed = 0;
    for (let arrival = arrivals.shift(); arrival !== undefined; arrival = arrivals.shift()) {
        const { at, hasReturned } = arrival;
        budget.recordRequest(at);
        requests.push(at);
        let isServed = !isDeclined(at);
        if (!isServed && budget.takeRetry(computeDaemonBudget(MESH, DAEMONS, isPreferred(hasReturned)), at)) {
            repeats.push(at);
            isServed = !isDeclined(at);
        }
        if (!isServed && hasReturned) {
            failed++;
        }
        else if (!isServed) {
            const returnsAt = at + SHEDDING.returnMs;
            const index = arrivals.findIndex(other => other.at > returnsAt);
            arrivals.splice(index < 0 ? arrivals.length : index, 0, { at: returnsAt, hasReturned: true });
        }
    }
    const count = (times: readonly number[], until: number) =>
        times.filter(time => time <= until && time > until - MESH.windowMs).length;
    const uses = repeats.map(until =>
        count(repeats, until) / (MESH.ratio * count(requests, until) + MESH.slack / DAEMONS)
    );
    return { failed, highestUse: Math.max(...uses) };
}

describe("servers that decline a large part of what they are sent", () => {
    it("fail fewer requests when the budget is kept for those that can't come back, and the budget holds", () => {
        const before = replay(() => true);
        const after = replay(hasReturned => hasReturned);
        process.stdout.write(`shedding: ${after.failed} failed for good, ${before.failed} without a preference\n`);
        expect(after.failed).toBeLessThan(before.failed);
        expect(after.highestUse).toBeLessThanOrEqual(1);
    });
});

describe("a daemon's budget", () => {
    it("is the same part of the slack for all daemons, and smaller for requests that can come back", () => {
        const last = computeDaemonBudget(MESH, DAEMONS, true);
        const first = computeDaemonBudget(MESH, DAEMONS, false);
        expect(last.minimumPerSecond * DAEMONS * 10).toBeLessThanOrEqual(MESH.slack);
        expect(last.budget).toBeLessThanOrEqual(MESH.ratio);
        expect(first.budget).toBeLessThan(last.budget);
    });
});
