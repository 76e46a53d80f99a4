export { OwnerStatistics } from "./OwnerStatistics.js";
export { selectPlacement } from "./Placement.js";
export type { Placement, PlacementCandidate } from "./Placement.js";
export { Distance } from "./PlacementTypes.js";
export type { LinkLoad, OwnerLoad, PlacementQuery } from "./PlacementTypes.js";
export { computeRetryAfter } from "./RetryAfter.js";
export { RouteStatistics } from "./RouteStatistics.js";
export { MAXIMUM_EXTRA_SERVERS, selectSubset } from "./Subset.js";
export type { ServersByDistance, SubsetQuery } from "./Subset.js";
