import { describe, expect, it } from "vitest";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { RoutePolicy, RouteTarget } from "../../../../state/traffic/index.js";
import { WeightedRoundRobin } from "../../index.js";

function createRoute(targets: readonly RouteTarget[]): RoutePolicy {
    return {
        kind: RequestKind.Idempotent,
        maximumServers: 2,
        name: "r",
        pathPrefix: "/",
        priority: 2,
        targetLatencyMs: 600,
        targets,
        timeoutMs: 1_200,
    };
}

describe("weighted round robin", () => {
    it("keeps the shares within any ten consecutive requests", () => {
        const roundRobin = new WeightedRoundRobin();
        const route = createRoute([{ service: "a", weight: 70 }, { service: "b", weight: 30 }]);
        const selected = Array.from({ length: 200 }, () => roundRobin.selectService(route));
        for (let begin = 0; begin + 10 <= selected.length; begin++) {
            const share = selected.slice(begin, begin + 10).filter(service => service === "a").length;
            expect(share).toBeGreaterThanOrEqual(6);
            expect(share).toBeLessThanOrEqual(8);
        }
    });

    it("never selects a target of weight 0", () => {
        const roundRobin = new WeightedRoundRobin();
        const route = createRoute([{ service: "a", weight: 0 }, { service: "b", weight: 1 }]);
        expect(new Set(Array.from({ length: 20 }, () => roundRobin.selectService(route)))).toEqual(new Set(["b"]));
    });

    it("selects no service when no target has a positive weight", () => {
        expect(new WeightedRoundRobin().selectService(createRoute([]))).toBeUndefined();
        const empty = createRoute([{ service: "a", weight: 0 }, { service: "b", weight: 0 }]);
        expect(new WeightedRoundRobin().selectService(empty)).toBeUndefined();
    });
});
