/** Guards against a tenant that is served by the priority of its route, and against keys or limits that other daemons get. */
import { expect, it } from "vitest";
import { RouteLatencies } from "../../../../coordination/hedging/index.js";
import { RouteStatistics } from "../../../../coordination/placement/index.js";
import { RequestKind } from "../../../../state/traffic/index.js";
import type { ForwardingPlan } from "../../ForwardingPlan.js";
import { buildOwnedRequest } from "../../PlannedRequest.js";

const PLAN: ForwardingPlan = {
    arrivedAt: 0,
    body: new Uint8Array(0),
    callerDeadlineAt: 900,
    callerService: "status-desk",
    confirmedAgeMs: 1,
    deadlineAt: 800,
    headers: [],
    isNested: false,
    isRetry: false,
    latencies: new RouteLatencies(),
    method: "GET",
    requestId: "r-1",
    reroutes: 0,
    revision: 3,
    route: {
        kind: RequestKind.Upload,
        maximumServers: 1,
        name: "stock",
        pathPrefix: "/",
        priority: 4,
        targetLatencyMs: 500,
        targets: [],
        timeoutMs: 800,
    },
    service: "ledger",
    statistics: new RouteStatistics(),
    target: "/stock/1",
    targetAt: 500,
    version: 7,
};

it("a request has the priority and the name of its tenant, and without a priority of its own that of the route", () => {
    const build = (priority?: number) =>
        buildOwnedRequest({ ...PLAN, tenant: { burst: 5, name: "pulo780", priority, ratePerSecond: 9 } }, {
            isRetry: false,
        }, 100);
    expect(build(0)).toMatchObject({ budgetLeftMs: 700, priority: 0, targetLeftMs: 400, tenant: "pulo780" });
    expect(build()).toMatchObject({ priority: 4, tenant: "pulo780" });
    expect(buildOwnedRequest(PLAN, { isRetry: true }, 100)).toMatchObject({
        isRetry: true,
        priority: 4,
        tenant: undefined,
    });
});
