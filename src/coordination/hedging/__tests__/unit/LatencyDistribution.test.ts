import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { LatencyDistribution, RouteLatencies } from "../../index.js";

/** Guards against a hedge delay that falls with each hedge, since slow requests that were ended early are not seen. */
describe("the latencies of a route", () => {
    it("have the same quantiles when slow requests are ended early", () => {
        const [whole, bounded] = [new LatencyDistribution(), new LatencyDistribution()];
        const random = createSeededRandom(7);
        for (let index = 0; index < 200; index++) {
            const ms = -100 * Math.log(1 - random());
            whole.record(ms);
            if (ms > 300) {
                bounded.recordLowerBound(300);
            }
            else {
                bounded.record(ms);
            }
        }
        expect(bounded.estimateQuantile(0.9)).toBe(whole.estimateQuantile(0.9));
        // The exponential distribution forgets the time that has passed; the tolerance is that of some 70 latencies.
        expect(Math.abs(whole.estimateSurvival(100, 170) - 0.5)).toBeLessThan(0.1);
    });

    it("are not estimated from fewer than fifty answers, however many lower bounds there are", () => {
        const latencies = new LatencyDistribution();
        for (let index = 0; index < 49; index++) {
            latencies.record(index);
            latencies.recordLowerBound(index);
        }
        expect(latencies.estimateQuantile(0.95)).toBeUndefined();
        latencies.record(50);
        expect(latencies.estimateQuantile(0.95)).toBeGreaterThan(40);
    });
});

/** Guards against repeats of answers that are not late, before the usual latency is known. */
describe("the time after which an answer is probably lost", () => {
    it("is known only after enough answers", () => {
        const latencies = new RouteLatencies();
        expect(latencies.estimateLostDelay()).toBeUndefined();
        for (let count = 0; count < 40; count++) {
            latencies.recordAnswer(200 + count % 10);
        }
        expect(latencies.estimateLostDelay()).toBeGreaterThan(200);
        expect(latencies.estimateLostDelay()).toBeLessThan(600);
    });
});
