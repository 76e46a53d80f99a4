import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { SharedRetryBudget } from "../../index.js";

const WINDOW_MS = 10_000;
const RATIO = 0.2;
const SLACK = 58;
const RUN_MS = 40_000;
const STEP_MS = 20;

interface LoadPlan {
    readonly daemons: number;
    /** Requests per second of the whole mesh in each of the phases, which last equally long. */
    readonly rates: readonly number[];
    /** Share of the requests that arrive at the first daemon. */
    readonly skew: number;
    /** Retries that daemons want for each request. */
    readonly wanted: number;
    readonly restarts: number;
    readonly seed: number;
}

interface Arrivals {
    readonly requests: readonly number[];
    readonly retries: readonly number[];
}

/** Plays the load and returns the times of all requests and of all retries that were allowed. */
function generateLoad({ daemons, rates, restarts, seed, skew, wanted }: LoadPlan): Arrivals {
    const random = createSeededRandom(seed);
    const budgets = Array.from({ length: daemons }, () => new SharedRetryBudget());
    const requests: number[] = [];
    const retries: number[] = [];
    const restartTimes = new Set(
        Array.from({ length: restarts }, () => Math.floor(random() * RUN_MS / STEP_MS) * STEP_MS),
    );
    for (let now = 0; now < RUN_MS; now += STEP_MS) {
        if (restartTimes.has(now)) {
            budgets[Math.floor(random() * daemons)] = new SharedRetryBudget();
        }
        const rate = rates[Math.floor(now / RUN_MS * rates.length)] ?? 0;
        const arriving = rate * STEP_MS / 1_000;
        const count = Math.floor(arriving) + (random() < arriving % 1 ? 1 : 0);
        for (let index = 0; index < count; index++) {
            const at = random() < skew ? 0 : Math.floor(random() * daemons);
            const budget = budgets[at] as SharedRetryBudget;
            budget.recordRequest(WINDOW_MS, now);
            requests.push(now);
            for (let attempt = 0; attempt < wanted; attempt++) {
                const limits = { daemons, ratio: RATIO, slack: SLACK, windowMs: WINDOW_MS };
                if (budget.takeRetry(limits, now)) {
                    retries.push(now);
                }
            }
        }
    }
    return { requests, retries };
}

/** Highest share of the allowed retries that any sliding window holds, by the platform's rule. */
function computeHighestUse({ requests, retries }: Arrivals): number {
    const countBetween = (times: readonly number[], from: number) =>
        times.filter(time => time >= from && time < from + WINDOW_MS).length;
    let highest = 0;
    for (let from = 0; from < RUN_MS; from += 500) {
        const basis = Math.max(
            countBetween(requests, from),
            countBetween(requests, from - WINDOW_MS),
            countBetween(requests, from - WINDOW_MS / 2),
        );
        highest = Math.max(highest, countBetween(retries, from) / (RATIO * basis + SLACK));
    }
    return highest;
}

/** Guards against daemons that each keep their own budget and together exceed that of the mesh. */
describe("the retry budget that daemons share", () => {
    it("keeps the limits of the mesh in each window, however load, restarts and retries are spread", () => {
        const plan = fc.record({
            daemons: fc.integer({ max: 40, min: 1 }),
            rates: fc.array(fc.integer({ max: 600, min: 0 }), { maxLength: 6, minLength: 1 }),
            restarts: fc.integer({ max: 6, min: 0 }),
            seed: fc.integer({ max: 1_000_000, min: 1 }),
            skew: fc.double({ max: 1, min: 0, noNaN: true }),
            wanted: fc.integer({ max: 3, min: 1 }),
        });
        fc.assert(fc.property(plan, load => computeHighestUse(generateLoad(load)) <= 1), { numRuns: 60, seed: 22 });
    });

    it("allows more than half of the limits when servers shed everything at a steady load", () => {
        const load = { daemons: 12, rates: [300], restarts: 0, seed: 5, skew: 0, wanted: 2 };
        expect(computeHighestUse(generateLoad(load))).toBeGreaterThan(0.5);
    });

    it("counts calls of requests that run again, which it can't prevent", () => {
        const budget = new SharedRetryBudget();
        const limits = { daemons: 1, ratio: RATIO, slack: 0, windowMs: WINDOW_MS };
        for (let index = 0; index < 100; index++) {
            budget.recordRequest(WINDOW_MS, 0);
        }
        for (let index = 0; index < 14; index++) {
            budget.recordRetry(WINDOW_MS, 0);
        }
        expect(budget.takeRetry(limits, 1)).toBe(false);
        expect(budget.takeRetry(limits, WINDOW_MS * 2)).toBe(false);
    });

    it("leaves half of it to retries after failures, whatever is hedged", () => {
        const budget = new SharedRetryBudget();
        const limits = { daemons: 1, ratio: RATIO, slack: 0, windowMs: WINDOW_MS };
        for (let index = 0; index < 100; index++) {
            budget.recordRequest(WINDOW_MS, 0);
        }
        const hedges = Array.from({ length: 20 }, () => budget.takeHedge(limits, 1)).filter(Boolean).length;
        const retries = Array.from({ length: 20 }, () => budget.takeRetry(limits, 1)).filter(Boolean).length;
        expect([hedges, retries]).toEqual([7, 7]);
    });
});
