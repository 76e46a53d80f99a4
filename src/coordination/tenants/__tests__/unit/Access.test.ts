/** Guards against a key that is admitted by a version that may be replaced, and against 401 by one that can't say so. */
import { describe, expect, it } from "vitest";
import { RequestKind, TenantTable } from "../../../../state/traffic/index.js";
import type { RoutePolicy, TrafficConfiguration } from "../../../../state/traffic/index.js";
import { Access, computeAccess, computeQueryDigest, findDigestFinding, findKeyFinding } from "../../index.js";

const ROUTE: RoutePolicy = {
    kind: RequestKind.Idempotent,
    maximumServers: 1,
    name: "r",
    pathPrefix: "/",
    priority: 5,
    targetLatencyMs: 1,
    targets: [],
    timeoutMs: 1,
};
const TENANT = { burst: 0, name: "pulo780", priority: 1 };
const CONFIGURATION: TrafficConfiguration = {
    limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    revision: 1,
    routesByHost: new Map(),
    services: new Map(),
    tenants: new TenantTable([{ keys: ["good"], tenant: TENANT }]),
    version: 1,
};
const DEADLINE_MS = 5_000;

describe("what a version says of a key", () => {
    it.each([
        ["a known key", ROUTE, "good", { needsKey: true, tenant: TENANT }],
        ["an unknown key", ROUTE, "bad", { needsKey: true, tenant: undefined }],
        ["no key", ROUTE, undefined, { needsKey: true, tenant: undefined }],
        ["a known key on a public route", { ...ROUTE, isPublic: true }, "good", { needsKey: false }],
        ["a known key without a route", undefined, "good", {}],
    ])("is the same for %s and for its digest", (_name, route, key, finding) => {
        expect(findKeyFinding(CONFIGURATION, route, key)).toEqual(finding);
        expect(findDigestFinding(CONFIGURATION, route, computeQueryDigest(key))).toEqual(finding);
        expect(findKeyFinding({ ...CONFIGURATION, tenants: undefined }, route, key)).toEqual({});
    });
});

describe("a request with a key", () => {
    const decide = (ageMs: number, deadlineMs: number | undefined = DEADLINE_MS) =>
        computeAccess({ needsKey: true, tenant: TENANT }, false, { ageMs, isUnderLease: false }, deadlineMs);

    it("is admitted while its version was confirmed less than 0.9 of the deadline ago", () => {
        expect([0, 3_000, 4_499, 4_500, Infinity].map(age => decide(age))).toEqual([
            Access.Granted,
            Access.Granted,
            Access.Granted,
            Access.Unconfirmed,
            Access.Unconfirmed,
        ]);
    });

    it("is admitted at any age where no deadline is set", () => {
        expect(
            computeAccess(
                { needsKey: true, tenant: TENANT },
                false,
                { ageMs: Infinity, isUnderLease: false },
                undefined,
            ),
        )
            .toBe(Access.Granted);
    });
});

describe("a request without a known key", () => {
    const state = (isUnderLease: boolean) => ({ ageMs: Infinity, isUnderLease });

    it("is denied under a lease only", () => {
        expect(computeAccess({ needsKey: true }, false, state(true), DEADLINE_MS)).toBe(Access.Denied);
        expect(computeAccess({ needsKey: true }, false, state(false), DEADLINE_MS)).toBe(Access.Unconfirmed);
    });

    it("is admitted as a call of a running request, on public routes and without tenants, whatever the age", () => {
        expect(computeAccess({ needsKey: true }, true, state(false), DEADLINE_MS)).toBe(Access.Granted);
        expect(computeAccess({ needsKey: false }, false, state(false), DEADLINE_MS)).toBe(Access.Granted);
        expect(computeAccess({}, false, state(false), DEADLINE_MS)).toBe(Access.Granted);
    });
});
