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

describe("service order of a slot queue", () => {
    it("starts a nested call before requests that hold no slot elsewhere", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const waiting = createRequest();
        const nested = createRequest({ isNested: true, priority: 99 });
        queue.enqueue(waiting, 1);
        queue.enqueue(nested, 2);
        expect(queue.releaseSlot(50).started).toEqual([nested]);
    });

    it("starts a request that can still meet its target before one that is already late", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const late = createRequest({ deadlineAt: 2_000, targetAt: 50 });
        const inTime = createRequest({ deadlineAt: 2_000, targetAt: 700 });
        queue.enqueue(late, 1);
        queue.enqueue(inTime, 2);
        expect(queue.releaseSlot(100).started).toEqual([inTime]);
    });

    it("starts the request of higher priority first among those in time", () => {
        const queue = createQueue(1);
        queue.enqueue(createRequest(), 0);
        const usual = createRequest();
        const urgent = createRequest({ priority: 1 });
        queue.enqueue(usual, 1);
        queue.enqueue(urgent, 2);
        expect(queue.releaseSlot(100).started).toEqual([urgent]);
    });
});

describe("slot queue of a busy server", () => {
    it("refuses a request at once when it can't be served before its deadline", () => {
        const queue = createQueue(1, 500);
        queue.enqueue(createRequest(), 0);
        queue.enqueue(createRequest({ deadlineAt: 10_000, targetAt: 10_000 }), 0);
        const unservable = createRequest({ deadlineAt: 700, priority: 3 });
        const { refused } = queue.enqueue(unservable, 0);
        expect(refused.map(({ request }) => request)).toEqual([unservable]);
        expect(refused[0]?.refusal.retryAfterMs).toBeGreaterThan(0);
    });

    it("starts no more requests than there are slots", () => {
        const queue = createQueue(3);
        const started = Array.from({ length: 20 }, () => queue.enqueue(createRequest(), 0).started.length);
        expect(started.reduce((sum, count) => sum + count, 0)).toBe(3);
        expect(queue.running).toBe(3);
    });

    it("starts no request while the server has no slots", () => {
        const queue = createQueue(0);
        expect(queue.enqueue(createRequest(), 0).started).toEqual([]);
    });
});

/** Payments and stock lookups at 1.7 times the capacity of a ledger server with 12 slots, for three seconds. */
const BURST = {
    kinds: [
        {
            meanWorkMs: 290,
            perSecond: (at: number) => at > 4_000 && at < 7_000 ? 46 : 22,
            priority: 1,
            route: "deposit-pay",
            targetMs: 800,
            timeoutMs: 1_500,
            benefit: 2,
        },
        {
            isNested: true,
            meanWorkMs: 55,
            perSecond: (at: number) => at > 4_000 && at < 7_000 ? 60 : 33,
            priority: 2,
            route: "fabric-stock",
            targetMs: 200,
            timeoutMs: 600,
            benefit: 1,
        },
    ],
    lengthMs: 16_000,
    seed: 7,
    slots: 12,
};

// Guards against a service order that loses more benefit in a burst than a FIFO queue, or keeps requests that
// it refuses queued until their deadline.
describe("slot queue in a burst", () => {
    it("yields more benefit than a FIFO queue and refuses requests before their deadline", () => {
        const load = generateLoad(BURST);
        const before = replayFifoQueue(load, BURST.slots);
        const after = replaySlotQueue(load, BURST.slots);
        const bound = computeUpperBound(load, () => BURST.slots);
        process.stdout.write(
            `burst: benefit ${after.benefit.toFixed(0)} of ${after.maximumBenefit}, FIFO ${before.benefit.toFixed(0)}, `
                + `upper bound ${bound.toFixed(0)}\n`,
        );
        expect(after.benefit).toBeLessThanOrEqual(bound);
        expect(after.benefit).toBeGreaterThan(before.benefit);
        expect(after.longestRefusedWaitMs).toBeLessThan(1_500);
    });
});

/** Status lookups at 1.25 times the capacity of a server with 12 slots, over the whole replay. */
const SUSTAINED_OVERLOAD = {
    kinds: [{
        meanWorkMs: 275,
        perSecond: () => 55,
        priority: 2,
        route: "repair-status",
        targetMs: 600,
        timeoutMs: 1_200,
        benefit: 1,
    }],
    lengthMs: 20_000,
    seed: 11,
    slots: 12,
};

// Guards against a queue that fills up under sustained overload: every answer is then late, and refusals come
// only after a long wait.
describe("slot queue under sustained overload", () => {
    it("yields more benefit than a FIFO queue and refuses excess requests soon after they arrive", () => {
        const load = generateLoad(SUSTAINED_OVERLOAD);
        const before = replayFifoQueue(load, SUSTAINED_OVERLOAD.slots);
        const after = replaySlotQueue(load, SUSTAINED_OVERLOAD.slots);
        const bound = computeUpperBound(load, () => SUSTAINED_OVERLOAD.slots);
        process.stdout.write(
            `sustained overload: benefit ${after.benefit.toFixed(0)} of ${after.maximumBenefit}, FIFO ${
                before.benefit.toFixed(0)
            }, upper bound ${bound.toFixed(0)}`
                + `; refused after ${after.meanRefusedWaitMs.toFixed(0)} ms, FIFO ${
                    before.meanRefusedWaitMs.toFixed(0)
                }\n`,
        );
        expect(after.benefit).toBeLessThanOrEqual(bound);
        expect(after.benefit).toBeGreaterThan(before.benefit);
        // An eighth of the target latency: a shorter wait before a refusal costs the caller nothing.
        expect(after.meanRefusedWaitMs).toBeLessThan(600 / 8);
    });
});
