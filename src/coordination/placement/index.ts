export { OwnerStatistics } from "./OwnerStatistics.js";
export { choosePlacement } from "./Placement.js";
export type { Placement, PlacementCandidate } from "./Placement.js";
export { Distance } from "./PlacementTypes.js";
export type { OwnerLoad, PlacementQuery } from "./PlacementTypes.js";
export { computeReturnTime } from "./ReturnTime.js";
export { RouteStatistics } from "./RouteStatistics.js";
