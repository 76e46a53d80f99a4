import { describe, expect, it } from "vitest";
import { ProcessorShare } from "../../index.js";

/** Guards against costly input that takes all of the event loop, in one piece of time or over a longer one. */
describe("the processor time for costly input", () => {
    it("is free for short work after a pause", () => {
        const share = new ProcessorShare();
        share.charge(2, 1_000);
        expect(share.estimateDelay(1_000)).toBe(0);
    });

    it("waits three times as long as it has worked, so that it takes a quarter", () => {
        const share = new ProcessorShare();
        let now = 0;
        let workedMs = 0;
        while (now < 10_000) {
            now += share.estimateDelay(now);
            share.charge(1.2, now);
            now += 1.2;
            workedMs += 1.2;
        }
        expect(workedMs / now).toBeGreaterThan(0.24);
        expect(workedMs / now).toBeLessThan(0.26);
    });

    it("isn't saved up for longer than a few milliseconds of work", () => {
        const share = new ProcessorShare();
        share.charge(1, 0);
        share.charge(3, 60_000);
        expect(share.estimateDelay(60_000)).toBeGreaterThan(0);
    });
});
