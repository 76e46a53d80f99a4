import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { RouteStatistics } from "../../index.js";

/** Status look-ups of which some get no answer: their servers ran them and the answer was lost on the way. */
const LOST_ANSWERS = { budgetMs: 2_500, lostShare: 0.05, meanWorkMs: 220, requests: 4_000, seed: 17, targetMs: 600 };
const LATE_BENEFIT_SHARE = 0.3;
/** Share of requests that may be repeated, by the users' bound. */
const RETRY_BUDGET_RATIO = 0.2;

interface Outcome {
    readonly benefit: number;
    readonly hedged: number;
}

/** Replays the requests; a second copy is sent after the time that `readOverdue` gives. */
function replay(getHedgeDelay: (statistics: RouteStatistics) => number | undefined): Outcome {
    const random = createSeededRandom(LOST_ANSWERS.seed);
    const statistics = new RouteStatistics();
    const drawLatency = (): number => {
        const workMs = LOST_ANSWERS.meanWorkMs * (0.5 + random());
        return random() < LOST_ANSWERS.lostShare ? Infinity : workMs;
    };
    let benefit = 0;
    let repeated = 0;
    for (let count = 0; count < LOST_ANSWERS.requests; count++) {
        const hedgeDelayMs = getHedgeDelay(statistics) ?? Infinity;
        const [firstMs, secondMs] = [drawLatency(), drawLatency()];
        const isHedged = firstMs > hedgeDelayMs;
        const latencyMs = isHedged ? Math.min(firstMs, hedgeDelayMs + secondMs) : firstMs;
        repeated += Number(isHedged);
        if (latencyMs <= LOST_ANSWERS.budgetMs) {
            benefit += latencyMs <= LOST_ANSWERS.targetMs ? 1 : LATE_BENEFIT_SHARE;
            statistics.recordAnswer(latencyMs, 1_000);
        }
    }
    return { benefit, hedged: repeated };
}

describe("replay of lost answers", () => {
    it("earns more with a second copy of what is overdue, within the budget of repeats", () => {
        const before = replay(() => undefined);
        const after = replay(statistics => statistics.estimateHedgeDelay());
        const lost = LOST_ANSWERS.requests - before.benefit;
        process.stdout.write(
            `lost answers: benefit ${
                after.benefit.toFixed(0)
            } of ${LOST_ANSWERS.requests} with ${after.hedged} repeats, `
                + `${before.benefit.toFixed(0)} without; ${lost.toFixed(0)} answers were lost\n`,
        );
        expect(after.benefit).toBeGreaterThan(before.benefit);
        expect(after.hedged).toBeLessThan(RETRY_BUDGET_RATIO * LOST_ANSWERS.requests);
    });
});
