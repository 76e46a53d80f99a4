import { expect, test } from "vitest";
import { createSeededRandom } from "../../index.js";

// Guards against tests and measurements that differ from run to run.
test("generators with the same seed give the same sequence", () => {
    const first = createSeededRandom(7);
    const second = createSeededRandom(7);
    const draws = Array.from({ length: 100 }, () => [first(), second()] as const);
    expect(draws.every(([a, b]) => a === b)).toBe(true);
    expect(new Set(draws.map(([a]) => a)).size).toBeGreaterThan(95);
});
