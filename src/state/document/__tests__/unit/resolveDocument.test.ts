import { expect, test } from "vitest";
import {
    joinResources,
    parseDocument,
    parseQuantity,
    resolveDocument,
    resolveResources,
    splitDocument,
} from "../../index.js";
import { parseExample } from "./documentFixtures.js";

const MINIMAL_DOCUMENT = `
mesh: { name: small, storeRegion: north, regions: { north: { failureDomains: [n1] } } }
services: { constructor: { servers: { n1: 1 }, slots: 1, connections: 1 } }
classes: { all: {} }
routes: { all: { match: { path: / }, service: constructor, class: all, repeatable: true } }
`;

// Guards against a wrong unit or a forgotten default in the form that daemons use.
test("units are converted and defaults filled in", async () => {
    const resolved = resolveDocument(parseDocument(MINIMAL_DOCUMENT).unsafeCoerce());
    await expect(`${JSON.stringify(resolved, undefined, 4)}\n`).toMatchFileSnapshot("golden/minimal-resolved.json");
});

// Guards against routes that find `Object.prototype.constructor` instead of a service.
test("a record has no inherited names", () => {
    expect(resolveDocument(parseExample("lakeshore")).services["constructor"]).toBeUndefined();
});

test.each(
    [
        ["duration", "250ms", 250],
        ["duration", "1.5 s", 1_500],
        ["duration", "24h", 86_400_000],
        ["size", "8KB", 8_000],
        ["size", "1MiB", 1_048_576],
        ["bit rate", "30Mbit/s", 30_000_000],
        ["share", "7%", 0.07],
        ["frequency", "3/s", 3],
        ["duration", "24", undefined],
        ["duration", "-1s", undefined],
        ["duration", "1MB", undefined],
        ["size", "1mb", undefined],
    ] as const,
)("a %s of %s is %s", (kind, text, amount) => {
    expect(parseQuantity(kind, text)).toBe(amount);
});

// Guards against a changed hash of unchanged content, which would distribute it again.
test("a document split into resources and joined again is the same", () => {
    const source = parseExample("marshals");
    const resources = splitDocument(source);
    const joined = joinResources(resources);
    expect(joined).toEqual(source);
    expect(splitDocument(joined)).toEqual(resources);
});

test("an unchanged resource is resolved once for all versions", () => {
    const resources = splitDocument(parseExample("lakeshore"));
    const first = resolveResources(resources);
    expect(resolveResources(resources).services["ledger"]).toBe(first.services["ledger"]);
});
