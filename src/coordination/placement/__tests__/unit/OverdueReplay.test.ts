import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { RouteStatistics } from "../../index.js";

/** Status look-ups of which some get no answer: their servers ran them and the answer was lost on the way. */
const LOST_ANSWERS = { budgetMs: 2_500, lostShare: 0.05, meanWorkMs: 220, requests: 4_000, seed: 17, targetMs: 600 };
const LATE_SHARE = 0.3;
/** Share of requests that may be repeated, by the users' bound. */
const BUDGET_RATIO = 0.2;

interface Outcome {
    readonly benefit: number;
    readonly repeated: number;
}

/** Replays the requests; a second copy is sent after the time that `readOverdue` gives. */
function replay(readOverdue: (statistics: RouteStatistics) => number | undefined): Outcome {
    const random = createSeededRandom(LOST_ANSWERS.seed);
    const statistics = new RouteStatistics();
    const drawLatency = (): number => {
        const workMs = LOST_ANSWERS.meanWorkMs * (0.5 + random());
        return random() < LOST_ANSWERS.lostShare ? Infinity : workMs;
    };
    let benefit = 0;
    let repeated = 0;
    for (let count = 0; count < LOST_ANSWERS.requests; count++) {
        const overdueMs = readOverdue(statistics) ?? Infinity;
        const [firstMs, secondMs] = [drawLatency(), drawLatency()];
        const isRepeated = firstMs > overdueMs;
        const latencyMs = isRepeated ? Math.min(firstMs, overdueMs + secondMs) : firstMs;
        repeated += Number(isRepeated);
        if (latencyMs <= LOST_ANSWERS.budgetMs) {
            benefit += latencyMs <= LOST_ANSWERS.targetMs ? 1 : LATE_SHARE;
            statistics.recordAnswer(latencyMs, 1_000);
        }
    }
    return { benefit, repeated };
}

describe("replay of lost answers", () => {
    it("earns more with a second copy of what is overdue, within the budget of repeats", () => {
        const before = replay(() => undefined);
        const after = replay(statistics => statistics.estimateOverdue());
        const lost = LOST_ANSWERS.requests - before.benefit;
        process.stdout.write(
            `lost answers: benefit ${
                after.benefit.toFixed(0)
            } of ${LOST_ANSWERS.requests} with ${after.repeated} repeats, `
                + `${before.benefit.toFixed(0)} without; ${lost.toFixed(0)} answers were lost\n`,
        );
        expect(after.benefit).toBeGreaterThan(before.benefit);
        expect(after.repeated).toBeLessThan(BUDGET_RATIO * LOST_ANSWERS.requests);
    });
});
