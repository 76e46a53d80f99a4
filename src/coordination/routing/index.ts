export { hasDotSegment, matchRoute } from "./RouteTable.js";
export type { RouteQuery } from "./RouteTable.js";
export { WeightedSplit } from "./WeightedSplit.js";
