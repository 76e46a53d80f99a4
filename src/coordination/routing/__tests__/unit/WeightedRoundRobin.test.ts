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

describe("a split of requests", () => {
    it("keeps the shares in any run of ten requests", () => {
        const split = new WeightedRoundRobin();
        const route = createRoute([{ service: "a", weight: 70 }, { service: "b", weight: 30 }]);
        const chosen = Array.from({ length: 200 }, () => split.selectService(route));
        for (let begin = 0; begin + 10 <= chosen.length; begin++) {
            const share = chosen.slice(begin, begin + 10).filter(service => service === "a").length;
            expect(share).toBeGreaterThanOrEqual(6);
            expect(share).toBeLessThanOrEqual(8);
        }
    });

    it("never chooses a target of weight 0", () => {
        const split = new WeightedRoundRobin();
        const route = createRoute([{ service: "a", weight: 0 }, { service: "b", weight: 1 }]);
        expect(new Set(Array.from({ length: 20 }, () => split.selectService(route)))).toEqual(new Set(["b"]));
    });

    it("has no service when no target has a weight", () => {
        expect(new WeightedRoundRobin().selectService(createRoute([]))).toBeUndefined();
        const empty = createRoute([{ service: "a", weight: 0 }, { service: "b", weight: 0 }]);
        expect(new WeightedRoundRobin().selectService(empty)).toBeUndefined();
    });
});
