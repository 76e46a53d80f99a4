import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { RouteLatencies } from "../../index.js";

/** Status lookups that their servers run, but of which some answers are lost on the way. */
const LOST_ANSWERS = { budgetMs: 2_500, lostShare: 0.05, meanWorkMs: 220, requests: 4_000, seed: 17, targetMs: 600 };
const LATE_BENEFIT_SHARE = 0.3;
/** Share of requests that the users allow to be sent again. */
const RETRY_BUDGET_RATIO = 0.2;

interface Outcome {
    readonly benefit: number;
    readonly hedged: number;
}

/** Replays the requests and hedges each one that has no answer after the delay that `getHedgeDelay` returns. */
function replay(getHedgeDelay: (latencies: RouteLatencies) => number | undefined): Outcome {
    const random = createSeededRandom(LOST_ANSWERS.seed);
    const latencies = new RouteLatencies();
    const drawLatency = (): number => {
        const workMs = LOST_ANSWERS.meanWorkMs * (0.5 + random());
        return random() < LOST_ANSWERS.lostShare ? Infinity : workMs;
    };
    let benefit = 0;
    let hedged = 0;
    for (let count = 0; count < LOST_ANSWERS.requests; count++) {
        const hedgeDelayMs = getHedgeDelay(latencies) ?? Infinity;
        const [firstMs, secondMs] = [drawLatency(), drawLatency()];
        const isHedged = firstMs > hedgeDelayMs;
        const latencyMs = isHedged ? Math.min(firstMs, hedgeDelayMs + secondMs) : firstMs;
        hedged += Number(isHedged);
        if (latencyMs <= LOST_ANSWERS.budgetMs) {
            benefit += latencyMs <= LOST_ANSWERS.targetMs ? 1 : LATE_BENEFIT_SHARE;
            latencies.recordAnswer(latencyMs);
        }
    }
    return { benefit, hedged };
}

// Guards against a hedge delay that is too long to recover lost answers in time, or so short that hedged
// requests exceed the retry budget.
describe("hedged requests", () => {
    it("yield more benefit than no hedging when answers are lost, within the retry budget", () => {
        const before = replay(() => undefined);
        const after = replay(latencies => latencies.estimateLostDelay());
        const lost = LOST_ANSWERS.requests - before.benefit;
        process.stdout.write(
            `lost answers: benefit ${
                after.benefit.toFixed(0)
            } of ${LOST_ANSWERS.requests} with ${after.hedged} hedged requests, `
                + `${before.benefit.toFixed(0)} without hedging; ${lost.toFixed(0)} lost without hedging\n`,
        );
        expect(after.benefit).toBeGreaterThan(before.benefit);
        expect(after.hedged).toBeLessThan(RETRY_BUDGET_RATIO * LOST_ANSWERS.requests);
    });
});
