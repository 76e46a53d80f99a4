import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { HedgeBudget } from "../../index.js";

const WINDOW_MS = 10_000;
/** Time for which tokens are kept. */
const LIFETIME_MS = 3_000;
/** Resolution of the window. */
const SLICE_MS = 500;

interface Event {
    readonly at: number;
    readonly isHedge: boolean;
}

/** Asks for hedges more often than allowed, at times that the phases of the load and gaps between them give. */
function generateEvents(share: number, gaps: readonly (readonly [number, number])[]): readonly Event[] {
    const budget = new HedgeBudget();
    const events: Event[] = [];
    let now = 0;
    for (const [count, gapMs] of gaps) {
        for (let index = 0; index < count; index++) {
            now += gapMs;
            budget.recordRequest(share, now);
            events.push({ at: now, isHedge: false });
        }
        for (let index = 0; index < count; index++) {
            if (budget.take(now)) {
                events.push({ at: now, isHedge: true });
            }
        }
    }
    return events;
}

function countSince(times: readonly number[], from: number, to: number): number {
    return times.filter(time => time >= from && time <= to).length;
}

/** Guards against more hedges than the operator's share of the requests, in any window. */
describe("the budget of hedges", () => {
    const phases = fc.array(
        fc.tuple(fc.integer({ max: 60, min: 1 }), fc.constantFrom(0.1, 3, 20, 150, 700)),
        { maxLength: 12, minLength: 1 },
    );

    it("is kept in each window that ends with a hedge, and in any other one with what was saved up before it", () => {
        fc.assert(
            fc.property(fc.double({ max: 1, min: 0.01, noNaN: true }), phases, (share, plan) => {
                const events = generateEvents(share, plan);
                const [hedges, requests] = [true, false].map(isHedge =>
                    events.filter(event => event.isHedge === isHedge).map(({ at }) => at)
                ) as [number[], number[]];
                return hedges.every((at, last) =>
                    countSince(hedges, at - WINDOW_MS + SLICE_MS, at)
                        <= share * countSince(requests, at - WINDOW_MS, at)
                    && hedges.slice(0, last + 1).every((from, first) =>
                        last - first <= share * countSince(requests, from - LIFETIME_MS, at)
                    )
                );
            }),
            { numRuns: 100, seed: 31 },
        );
    });

    it("is spent by calls of repeated requests too, but their debt is limited", () => {
        const budget = new HedgeBudget();
        for (let index = 0; index < 100; index++) {
            budget.recordRepeatedCall(0);
        }
        for (let now = 0; now < WINDOW_MS; now += 10) {
            budget.recordRequest(0.05, now);
        }
        expect(budget.take(WINDOW_MS - 1)).toBe(false);
        for (let now = WINDOW_MS; now < 2 * WINDOW_MS; now += 10) {
            budget.recordRequest(0.05, now);
        }
        expect(budget.take(2 * WINDOW_MS)).toBe(true);
    });
});
