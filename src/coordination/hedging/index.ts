export { HedgeBudget } from "./HedgeBudget.js";
export { computeHedgeDelay, computeRecheckDelay, HedgeObstacle, selectHedge } from "./HedgeSelection.js";
export type { HedgeCandidate, HedgeQuery, HedgeSelection, HedgeSettings } from "./HedgeSelection.js";
export { MAXIMUM_CHECKS } from "./HedgingConstants.js";
export { LatencyDistribution } from "./LatencyDistribution.js";
export { RouteLatencies } from "./RouteLatencies.js";
