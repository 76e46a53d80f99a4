import { describe, expect, it } from "vitest";
import { RateLimit, SlotQueue, WorkTimeEstimator } from "../../index.js";
import type { SlotRequest } from "../../index.js";

const WINDOW_MS = 4_000;

/** Times at which requests start while there is always one waiting. */
function replayDemand(limit: RateLimit, fromMs: number, untilMs: number, stepMs: number): readonly number[] {
    const starts: number[] = [];
    for (let now = fromMs; now < untilMs; now += stepMs) {
        while (limit.take(now)) {
            starts.push(now);
        }
    }
    return starts;
}

function countMostInWindow(starts: readonly number[]): number {
    return Math.max(...starts.map(from => starts.filter(at => at >= from && at < from + WINDOW_MS).length));
}

/** Guards against a server that gets far more requests than the limit that it has named. */
describe("rate limit of a server", () => {
    it.each([0.2, 1, 2.5, 10.5, 24.3, 400])("%d a second is used up and kept in any four seconds", perSecond => {
        const limit = new RateLimit();
        limit.update(perSecond, 1_000);
        const starts = replayDemand(limit, 1_000, 21_000, 25);
        const allowed = Math.max(0.5, perSecond) * WINDOW_MS / 1_000;
        expect(countMostInWindow(starts)).toBeLessThanOrEqual(allowed * 1.25 + 3);
        expect(starts.length).toBeGreaterThan(allowed * 5 * 0.9 - 1);
    });

    it("is kept after a pause, whose starts are not made up for", () => {
        const limit = new RateLimit();
        limit.update(10, 0);
        replayDemand(limit, 0, 4_000, 25);
        const starts = replayDemand(limit, 30_000, 38_000, 25);
        expect(countMostInWindow(starts)).toBeLessThanOrEqual(43);
    });

    it("is kept when it falls, rises and is lifted for a moment", () => {
        const limit = new RateLimit();
        limit.update(40, 0);
        replayDemand(limit, 0, 2_000, 25);
        limit.update(5, 2_000);
        expect(countMostInWindow(replayDemand(limit, 2_000, 10_000, 25))).toBeLessThanOrEqual(22);
        limit.update(undefined, 10_000);
        limit.update(5, 10_010);
        expect(countMostInWindow(replayDemand(limit, 10_010, 18_000, 25))).toBeLessThanOrEqual(22);
    });

    it("ends when the server names no limit any more", () => {
        const limit = new RateLimit();
        limit.update(1, 0);
        limit.update(undefined, 10);
        expect([limit.take(10), limit.take(10), limit.estimateDelay(10)]).toEqual([true, true, 0]);
    });
});

function createRequest(fields: Partial<SlotRequest> = {}): SlotRequest {
    return { deadlineAt: 1_200, isNested: false, priority: 2, route: "r", targetAt: 600, ...fields };
}

function createLimitedQueue(perSecond: number) {
    const estimates = new WorkTimeEstimator();
    estimates.record("r", 100);
    const limit = new RateLimit();
    limit.update(perSecond, 0);
    return new SlotQueue<SlotRequest>(() => 12, estimates, limit);
}

/** Guards against requests that wait in vain for a server whose slots are free but whose limit is used up. */
describe("slot queue of a server that names a limit", () => {
    it("starts no more requests than the limit allows, however many slots are free", () => {
        const queue = createLimitedQueue(10);
        const started = Array.from({ length: 12 }, () => queue.enqueue(createRequest(), 100).started.length);
        expect(started.reduce((sum, count) => sum + count, 0)).toBe(1);
    });

    it("refuses at once what can't start before its deadline, and tells when to return", () => {
        const queue = createLimitedQueue(5);
        const refusals = Array.from({ length: 20 }, () => queue.enqueue(createRequest(), 0).refused).flat();
        // Five a second leave room for about six requests in 1.2 s.
        expect(refusals.length).toBeGreaterThan(12);
        expect(refusals.every(({ refusal }) => refusal.retryAfterMs > 100)).toBe(true);
    });

    it("starts a nested call before the others when the next start is due", () => {
        const queue = createLimitedQueue(10);
        queue.enqueue(createRequest(), 0);
        const nested = createRequest({ isNested: true });
        queue.enqueue(nested, 0);
        expect(queue.dispatch(110).started).toEqual([nested]);
    });

    it("reports the wait for the next start although slots are free", () => {
        const queue = createLimitedQueue(2);
        expect(queue.estimateWaits(0).inTimeMs).toBeCloseTo(500);
        expect(queue.estimateWaits(400).inTimeMs).toBeCloseTo(100);
    });
});
