export { findRoute, isRepeatable, RequestKind } from "./TrafficConfiguration.js";
export type {
    CallerLimits,
    RoutePolicy,
    RouteTarget,
    ServicePolicy,
    TrafficConfiguration,
} from "./TrafficConfiguration.js";
