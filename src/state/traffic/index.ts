export type { Tenant } from "./Tenant.js";
export { computeKeyDigest, TenantTable } from "./TenantTable.js";
export type { TenantEntry, TenantSummary } from "./TenantTable.js";
export { findRoute, isRepeatable, RequestKind } from "./TrafficConfiguration.js";
export type {
    CallerLimits,
    RoutePolicy,
    RouteTarget,
    ServicePolicy,
    TrafficConfiguration,
} from "./TrafficConfiguration.js";
