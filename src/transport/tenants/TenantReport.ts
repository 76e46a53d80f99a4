/** What operators see of tenants: names, numbers of keys, limits and counts of requests, and never a key. */
import type { TrafficConfiguration } from "../../state/traffic/index.js";
import { OTHER_TENANTS } from "./TenantMetrics.js";
import type { TenantCounts, TenantMetrics } from "./TenantMetrics.js";

/** One tenant of the version in force. */
export interface ReportedTenant {
    readonly name: string;
    /** Number of keys that are listed, also of those that another tenant has too. */
    readonly keys: number;
    readonly priority: number | undefined;
    readonly ratePerSecond: number | undefined;
    readonly burst: number;
    /** Requests of callers of this VM since the daemon's start; undefined for tenants that aren't counted singly. */
    readonly requests: Omit<TenantCounts, "tenant"> | undefined;
}

const QUOTE_PATTERN = /["\\\n]/g;

/** Lists the tenants of a version; empty without a version or without tenants. */
export function listReportedTenants(
    configuration: TrafficConfiguration | undefined,
    metrics: Pick<TenantMetrics, "get">,
): readonly ReportedTenant[] {
    return (configuration?.tenants?.list() ?? []).map(({ keys, tenant }) => ({
        burst: tenant.burst,
        keys,
        name: tenant.name,
        priority: tenant.priority,
        ratePerSecond: tenant.ratePerSecond,
        requests: metrics.get(tenant.name),
    }));
}

/** Lists counters by tenant for the metrics; the rest has the label `other` set. */
export function listTenantCounters(
    metrics: Pick<TenantMetrics, "list">,
): readonly { readonly name: string; read(): number; }[] {
    return metrics.list().flatMap(({ tenant, ...counts }) =>
        Object.entries(counts).map(([end, count]) => {
            const labels = tenant === OTHER_TENANTS
                ? `end="${end}",other="true"`
                : `end="${end}",tenant="${escapeLabel(tenant)}"`;
            return { name: `tenant_requests_total{${labels}}`, read: () => count };
        })
    );
}

/** Escapes a label value of the Prometheus text format. */
function escapeLabel(value: string): string {
    return value.replace(QUOTE_PATTERN, found => found === "\n" ? "\\n" : `\\${found}`);
}
