import { describe, expect, it } from "vitest";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, RouteTarget, TrafficConfiguration } from "../../../../state/traffic/index.js";
import { checkRoute, RouteCheck } from "../../index.js";

function createRoute(pathPrefix: string, targets: readonly RouteTarget[]): RoutePolicy {
    return {
        kind: RequestKind.AtMostOnce,
        maximumServers: 1,
        name: pathPrefix,
        pathPrefix,
        priority: 1,
        targetLatencyMs: 500,
        targets,
        timeoutMs: 1_000,
    };
}

const CONFIGURATION: TrafficConfiguration = {
    limits: { bodyBytes: 1, headerBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    revision: 90,
    routesByHost: new Map([["mesh.example", [
        createRoute("/pay/back/", [{ service: "workroom", weight: 1 }]),
        createRoute("/pay/", [{ service: "ledger", weight: 3 }, { service: "workroom", weight: 0 }]),
    ]]]),
    services: new Map(),
    version: 9,
};

function createRequest(target: string, service: string, version: number) {
    return { headers: ["Accept", "*/*", "Host", "Mesh.Example:80"], service, target, version };
}

/** Guards against a server that runs what only a replaced version led to it, and against misplaced requests that nobody notices. */
describe("a request that reaches the daemon of a server", () => {
    it.each<readonly [string, string, number, RouteCheck, string]>([
        ["/pay/1?x=/pay/back/", "ledger", 8, RouteCheck.Current, "its route still leads there"],
        ["/pay/back/1", "ledger", 8, RouteCheck.Outdated, "a longer prefix leads elsewhere"],
        ["/pay/1", "workroom", 8, RouteCheck.Outdated, "the service has no weight any more"],
        ["/gone/1", "ledger", 8, RouteCheck.Outdated, "its route was dropped"],
        ["/pay/1", "ledger", 9, RouteCheck.Current, "the same version leads it there"],
        ["/pay/1", "workroom", 9, RouteCheck.Misplaced, "the same version gives the service no weight"],
        ["/gone/1", "ledger", 9, RouteCheck.Misplaced, "the same version has no route for it"],
        ["/gone/1", "ledger", 10, RouteCheck.Current, "a newer version has decided"],
    ])("%s for %s by version %i is %s, since %s", (target, service, version, expected) => {
        expect(checkRoute(createRequest(target, service, version), CONFIGURATION)).toBe(expected);
    });

    it("is outdated without a host that the newer version knows", () => {
        const request = { ...createRequest("/pay/1", "ledger", 8), headers: [] };
        expect(checkRoute(request, CONFIGURATION)).toBe(RouteCheck.Outdated);
    });
});
