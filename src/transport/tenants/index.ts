export { MAXIMUM_COUNTED_TENANTS, TenantMetrics } from "./TenantMetrics.js";
export type { TenantCounts } from "./TenantMetrics.js";
export { listReportedTenants, listTenantCounters } from "./TenantReport.js";
export type { ReportedTenant } from "./TenantReport.js";
