/** Guards against metrics that grow with the number of tenants, lose requests, or show a key. */
import { expect, it } from "vitest";
import { TenantTable } from "../../../../state/traffic/index.js";
import type { TrafficConfiguration } from "../../../../state/traffic/index.js";
import { listReportedTenants, listTenantCounters, MAXIMUM_COUNTED_TENANTS, TenantMetrics } from "../../index.js";

it("10,000 tenants are counted in a bounded number of counters, without losing a request", () => {
    const metrics = new TenantMetrics();
    for (let index = 0; index < 10_000; index++) {
        metrics.record({ outcome: "answered", status: 200, tenant: `t${index}` });
    }
    metrics.record({ outcome: "answered", status: 200, tenant: undefined });
    const counts = metrics.list();
    expect(counts).toHaveLength(MAXIMUM_COUNTED_TENANTS + 1);
    expect(counts[0]).toMatchObject({ answered: 10_000 - MAXIMUM_COUNTED_TENANTS, tenant: "" });
    expect(counts.reduce((sum, { answered }) => sum + answered, 0)).toBe(10_000);
});

it("requests are counted by their ends", () => {
    const metrics = new TenantMetrics();
    metrics.record({ outcome: "not-run", status: 429, tenant: "a\"b" });
    metrics.record({ outcome: "not-run", status: 503, tenant: "a\"b" });
    metrics.record({ outcome: "unknown", status: 502, tenant: "a\"b" });
    expect(metrics.get("a\"b")).toEqual({ answered: 0, overQuota: 1, refused: 1, unknown: 1 });
    expect(listTenantCounters(metrics).map(({ name, read }) => `${name} ${read()}`)).toContain(
        "tenant_requests_total{end=\"overQuota\",tenant=\"a\\\"b\"} 1",
    );
});

it("operators see the number of a tenant's keys, and none of them", () => {
    const metrics = new TenantMetrics();
    const tenant = { burst: 5, name: "pulo780", priority: 1, ratePerSecond: 9 };
    const configuration = {
        tenants: new TenantTable([{ keys: ["secret-1", "secret-2"], tenant }]),
    } as unknown as TrafficConfiguration;
    const listed = listReportedTenants(configuration, metrics);
    expect(listed).toEqual([{ ...tenant, keys: 2, requests: undefined }]);
    expect(JSON.stringify(listed)).not.toContain("secret");
    expect(listReportedTenants(undefined, metrics)).toEqual([]);
});
