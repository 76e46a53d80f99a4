import fc from "fast-check";
import { deflateRawSync } from "node:zlib";
import { describe, expect, it } from "vitest";
import { createSeededRandom } from "../../../shared/index.js";
import { applyTextDifference, computeTextDifference, isDifference } from "../../index.js";

const ROUTES = 1_120;
const MAXIMUM_LENGTH = 1_000_000;
/** Bytes that a change of one route may take on the link of each VM. */
const ONE_ROUTE_LIMIT_BYTES = 2_000;

function generateRoutes(): Record<string, unknown>[] {
    const random = createSeededRandom(3);
    const generateName = (): string => Math.floor(random() * 36 ** 7).toString(36);
    return Array.from({ length: ROUTES }, () => ({
        Attempts: 3,
        Kind: "idempotent",
        Name: generateName(),
        PathPrefix: `/${generateName()}/`,
        Service: "ledger",
        TimeoutS: 1.5,
    }));
}

/** Compressed size of the difference between two lists of routes, which has to lead to the second one. */
function measureDifference(base: unknown, changed: unknown): number {
    const [from, to] = [JSON.stringify(base), JSON.stringify(changed)];
    const parts = computeTextDifference(from, to);
    expect(applyTextDifference(from, parts, MAXIMUM_LENGTH)).toBe(to);
    return deflateRawSync(JSON.stringify(parts)).length;
}

/** Guards against a version that is put together wrongly from its difference, and against differences as large as copies. */
describe("the difference between two texts", () => {
    it("leads to the second one, whatever the texts are", () => {
        const texts = fc.string({ maxLength: 60, unit: fc.constantFrom("{", "}", ",", "a", "b", "ż") });
        fc.assert(fc.property(texts, texts, (base, text) => {
            const parts = computeTextDifference(base, text);
            return isDifference(parts) && applyTextDifference(base, parts, MAXIMUM_LENGTH) === text;
        }));
    });

    it("is small for a route that is changed, added, removed or moved among many", () => {
        const routes = generateRoutes();
        const [first] = routes;
        const sizes = [
            routes.map((route, index) => index === 500 ? { ...route, Service: "workroom" } : route),
            [...routes, { ...first, Name: "another" }],
            routes.filter((_route, index) => index !== 700),
            [...routes.slice(1), first],
        ].map(changed => measureDifference(routes, changed));
        expect(Math.max(...sizes)).toBeLessThan(ONE_ROUTE_LIMIT_BYTES);
    });

    it("isn't applied where a part lies outside of the base or the text gets too long", () => {
        expect(applyTextDifference("abc", [[1, 3]], MAXIMUM_LENGTH)).toBeUndefined();
        expect(applyTextDifference("abc", Array.from({ length: 10 }, () => [0, 3] as const), 20)).toBeUndefined();
    });

    it.each([
        ["text", "abc"],
        ["negative start", [[-1, 2]]],
        ["fraction", [[0, 1.5]]],
        ["three numbers", [[0, 1, 2]]],
        ["object", [{}]],
    ])("isn't taken for one when it is malformed: %s", (_name, value) => {
        expect(isDifference(value)).toBe(false);
    });
});
