export { checkRoute, getPath, RouteCheck } from "./RouteCurrency.js";
export type { RoutedRequest } from "./RouteCurrency.js";
export { hasDotSegment, matchRoute } from "./RouteTable.js";
export type { RouteQuery } from "./RouteTable.js";
export { WeightedRoundRobin } from "./WeightedRoundRobin.js";
