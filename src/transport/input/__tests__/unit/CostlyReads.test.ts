import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createSilentLogger } from "../../../ownership/__tests__/fixtures/Admission.js";
import { CostlyReads } from "../../index.js";
import type { CostlyReader } from "../../index.js";

const SLICE_MS = 1.2;

beforeEach(() => {
    vi.useFakeTimers({ toFake: ["setTimeout", "clearTimeout", "performance"] });
});

afterEach(() => {
    vi.useRealTimers();
});

/** A connection that reads without end, and tells how much it has read. */
class EndlessReader implements CostlyReader {
    readonly source = "an answer without end";
    workMs = 0;
    turns = 0;

    constructor(private readonly reads: CostlyReads) {}

    readOn(): void {
        this.turns++;
        this.reads.charge(SLICE_MS, this.workMs);
        this.workMs += SLICE_MS;
        this.reads.enqueue(this);
    }
}

/** Guards against connections that hold the event loop, or starve each other. */
describe("connections with costly input", () => {
    it("together get a quarter of the time, in equal parts", () => {
        const reads = new CostlyReads(createSilentLogger(), () => performance.now());
        const readers = Array.from({ length: 8 }, () => new EndlessReader(reads));
        readers.forEach(reader => reader.readOn());
        vi.advanceTimersByTime(4_000);
        const turns = readers.map(reader => reader.turns);
        expect(turns.reduce((sum, count) => sum + count, 0) * SLICE_MS).toBeLessThan(0.26 * 4_000 + 8 * SLICE_MS);
        expect(Math.max(...turns) - Math.min(...turns)).toBeLessThanOrEqual(1);
        expect(Math.min(...turns)).toBeGreaterThan(50);
    });

    it("read on at once while their answer has cost little, whatever others cost", () => {
        const reads = new CostlyReads(createSilentLogger(), () => performance.now());
        const endless = new EndlessReader(reads);
        endless.readOn();
        endless.readOn();
        endless.readOn();
        expect(reads.isFree(endless)).toBe(false);
        expect(reads.isFree({ readOn: () => undefined, source: "an event", workMs: 0.1 })).toBe(true);
    });

    it("leave the share to others as long as each has cost little", () => {
        const reads = new CostlyReads(createSilentLogger(), () => performance.now());
        for (let answers = 0; answers < 100; answers++) {
            reads.charge(0.6, 0);
            reads.charge(0.4, 0.6);
        }
        expect([reads.totalWorkMs, reads.isFree(new EndlessReader(reads))]).toEqual([0, true]);
        reads.charge(5, 0.8);
        expect(reads.totalWorkMs).toBeCloseTo(4.8);
    });

    it("that are closed no longer wait", () => {
        const reads = new CostlyReads(createSilentLogger(), () => performance.now());
        const endless = new EndlessReader(reads);
        endless.readOn();
        reads.cancel(endless);
        vi.advanceTimersByTime(1_000);
        expect({ turns: endless.turns, waiting: reads.waiting }).toEqual({ turns: 1, waiting: 0 });
    });
});
