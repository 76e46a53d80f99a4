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

// Guards against a wrong unit or a missing default in the form that daemons use.
test("resolving a minimal document converts units and fills in all defaults", async () => {
    const resolved = resolveDocument(parseDocument(MINIMAL_DOCUMENT).unsafeCoerce());
    await expect(`${JSON.stringify(resolved, undefined, 4)}\n`).toMatchFileSnapshot("golden/minimal-resolved.json");
});

// Guards against routes that find `Object.prototype.constructor` instead of a service.
test("a lookup of the undefined service \"constructor\" finds nothing", () => {
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
)("a %s of %s is parsed as %s", (kind, text, amount) => {
    expect(parseQuantity(kind, text)).toBe(amount);
});

// Guards against a changed hash of unchanged content, which would be distributed again.
test("a document split into resources and joined again is unchanged", () => {
    const source = parseExample("marshals");
    const resources = splitDocument(source);
    const joined = joinResources(resources);
    expect(joined).toEqual(source);
    expect(splitDocument(joined)).toEqual(resources);
});

test("resolving an unchanged resource again returns the cached settings", () => {
    const resources = splitDocument(parseExample("lakeshore"));
    const first = resolveResources(resources);
    expect(resolveResources(resources).services["ledger"]).toBe(first.services["ledger"]);
});
