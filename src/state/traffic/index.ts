export type { Tenant } from "./Tenant.js";
export { findRoute, isRepeatable, RequestKind } from "./TrafficConfiguration.js";
export type {
    CallerLimits,
    RoutePolicy,
    RouteTarget,
    ServicePolicy,
    TrafficConfiguration,
} from "./TrafficConfiguration.js";
