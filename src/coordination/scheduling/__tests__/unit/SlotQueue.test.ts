import { describe, expect, it } from "vitest";
import { SlotQueue, WorkTimeEstimator } from "../../index.js";
import type { SlotRequest } from "../../index.js";
import { generateLoad, replayFifoQueue, replaySlotQueue } from "../fixtures/LoadReplay.js";
import { computeUpperBound } from "../fixtures/UpperBound.js";

function createRequest(fields: Partial<SlotRequest> = {}): SlotRequest {
    return { deadlineAt: 1_200, isNested: false, priority: 2, route: "r", targetAt: 600, ...fields };
}

function createQueue(slots: number, workMs = 100) {
    const estimates = new WorkTimeEstimator();
    estimates.record("r", workMs);
    return new SlotQueue<SlotRequest>(() => slots, estimates);
}

describe("order of service", () => {
    it("starts a nested call before requests that hold no slot elsewhere", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const waiting = createRequest();
        const nested = createRequest({ isNested: true, priority: 99 });
        queue.enqueue(waiting, 1);
        queue.enqueue(nested, 2);
        expect(queue.releaseSlot(50).started).toEqual([nested]);
    });

    it("starts what can still be in time before what is late already", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const late = createRequest({ deadlineAt: 2_000, targetAt: 50 });
        const inTime = createRequest({ deadlineAt: 2_000, targetAt: 700 });
        queue.enqueue(late, 1);
        queue.enqueue(inTime, 2);
        expect(queue.releaseSlot(100).started).toEqual([inTime]);
    });

    it("starts the more urgent route first among those in time", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const usual = createRequest();
        const urgent = createRequest({ priority: 1 });
        queue.enqueue(usual, 1);
        queue.enqueue(urgent, 2);
        expect(queue.releaseSlot(100).started).toEqual([urgent]);
    });
});

describe("turning away", () => {
    it("refuses at once a request that can't be served before its deadline", () => {
        const queue = createQueue(1, 500);
        queue.enqueue(createRequest(), 0);
        queue.enqueue(createRequest({ deadlineAt: 10_000, targetAt: 10_000 }), 0);
        const hopeless = createRequest({ deadlineAt: 700, priority: 3 });
        const { refused } = queue.enqueue(hopeless, 0);
        expect(refused.map(({ request }) => request)).toEqual([hopeless]);
        expect(refused[0]?.refusal.retryAfterMs).toBeGreaterThan(0);
    });

    it("never runs more requests than there are slots", () => {
        const queue = createQueue(3);
        const started = Array.from({ length: 20 }, () => queue.enqueue(createRequest(), 0).started.length);
        expect(started.reduce((sum, count) => sum + count, 0)).toBe(3);
        expect(queue.running).toBe(3);
    });

    it("starts nothing while the server has no slots", () => {
        const queue = createQueue(0);
        expect(queue.enqueue(createRequest(), 0).started).toEqual([]);
    });
});

/** A ledger server of 12 slots: payments and stock look-ups at 1.7 times its capacity for three seconds. */
const BURST = {
    kinds: [
        {
            meanWorkMs: 290,
            perSecond: (at: number) => at > 4_000 && at < 7_000 ? 46 : 22,
            priority: 1,
            route: "deposit-pay",
            targetMs: 800,
            timeoutMs: 1_500,
            worth: 2,
        },
        {
            isNested: true,
            meanWorkMs: 55,
            perSecond: (at: number) => at > 4_000 && at < 7_000 ? 60 : 33,
            priority: 2,
            route: "fabric-stock",
            targetMs: 200,
            timeoutMs: 600,
            worth: 1,
        },
    ],
    lengthMs: 16_000,
    seed: 7,
    slots: 12,
};

describe("replay of a burst", () => {
    it("earns more than a queue in the order of arrival and refuses before the deadline", () => {
        const load = generateLoad(BURST);
        const before = replayFifoQueue(load, BURST.slots);
        const after = replaySlotQueue(load, BURST.slots);
        const bound = computeUpperBound(load, () => BURST.slots);
        process.stdout.write(
            `burst: benefit ${after.benefit.toFixed(0)} of ${after.maximumBenefit}, in order ${
                before.benefit.toFixed(0)
            }, `
                + `at most ${bound.toFixed(0)}\n`,
        );
        expect(after.benefit).toBeLessThanOrEqual(bound);
        expect(after.benefit).toBeGreaterThan(before.benefit);
        expect(after.longestRefusedWaitMs).toBeLessThan(1_500);
    });
});

/** A status server of 12 slots that gets 1.25 times what it can do, for as long as the replay lasts. */
const LASTING_OVERLOAD = {
    kinds: [{
        meanWorkMs: 275,
        perSecond: () => 55,
        priority: 2,
        route: "repair-status",
        targetMs: 600,
        timeoutMs: 1_200,
        worth: 1,
    }],
    lengthMs: 20_000,
    seed: 11,
    slots: 12,
};

describe("replay of a lasting overload", () => {
    it("refuses what can't be served soon after it came, and serves the others in time", () => {
        const load = generateLoad(LASTING_OVERLOAD);
        const before = replayFifoQueue(load, LASTING_OVERLOAD.slots);
        const after = replaySlotQueue(load, LASTING_OVERLOAD.slots);
        const bound = computeUpperBound(load, () => LASTING_OVERLOAD.slots);
        process.stdout.write(
            `lasting overload: benefit ${after.benefit.toFixed(0)} of ${after.maximumBenefit}, in order ${
                before.benefit.toFixed(0)
            }, at most ${bound.toFixed(0)}`
                + `; refused after ${after.meanRefusedWaitMs.toFixed(0)} ms, in order ${
                    before.meanRefusedWaitMs.toFixed(0)
                }\n`,
        );
        expect(after.benefit).toBeLessThanOrEqual(bound);
        expect(after.benefit).toBeGreaterThan(before.benefit);
        // An eighth of the target: up to this a wait before a refusal costs the caller nothing.
        expect(after.meanRefusedWaitMs).toBeLessThan(600 / 8);
    });
});
