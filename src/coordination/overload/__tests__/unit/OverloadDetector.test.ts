import { describe, expect, it } from "vitest";
import { OverloadDetector } from "../../index.js";

const SAMPLE_MS = 250;

/** A detector with the samples of an event loop, one each quarter of a second. */
function createDetector(...utilizations: readonly number[]): OverloadDetector {
    const detector = new OverloadDetector();
    utilizations.forEach((utilization, index) =>
        detector.recordSample({ iterationMs: 40 + index, utilization }, (index + 1) * SAMPLE_MS)
    );
    return detector;
}

/** Guards against a daemon without processor time that goes on taking requests which it can't serve. */
describe("the detector of overload", () => {
    it("finds an event loop that has had no idle time for half a second", () => {
        expect(createDetector(0.4, 1).isOverloaded(500)).toBe(false);
        expect(createDetector(0.4, 1, 1).isOverloaded(750)).toBe(true);
        expect(createDetector(1, 0.9, 1).isOverloaded(750)).toBe(false);
    });

    it("forgets it a second after the last saturated sample, and takes callers again after two", () => {
        const detector = createDetector(1, 1, 0.5);
        expect([detector.isOverloaded(1_499), detector.isOverloaded(1_500)]).toEqual([true, false]);
        expect([detector.shouldAvoidCallers(2_499), detector.shouldAvoidCallers(2_500)]).toEqual([true, false]);
    });

    it("estimates what a request loses by the longest recent iteration, and nothing while there is idle time", () => {
        expect(createDetector(0.5, 0.5, 0.5).estimateDelayMs(750)).toBeUndefined();
        expect(createDetector(1, 1, 1).estimateDelayMs(750)).toBe(4 * 42);
        const detector = createDetector(1, 1, 1, 1, 1, 1);
        detector.recordSample({ iterationMs: 10, utilization: 1 }, 1_750);
        expect(detector.estimateDelayMs(1_750)).toBe(4 * 45);
    });

    it("lets waiting connections be reset while it is overloaded, once in a quarter of a second", () => {
        expect(createDetector(0.5, 0.5).tryReset(500)).toBe(false);
        const detector = createDetector(1, 1);
        expect([500, 600, 749, 750].map(now => detector.tryReset(now))).toEqual([true, false, false, true]);
        expect(detector.tryReset(1_500)).toBe(false);
    });
});
