export { Fleet } from "./Fleet.js";
export type { FleetTotals } from "./Fleet.js";
export type { FleetMode } from "./FleetMessages.js";
export { readPreciseTime } from "./FleetMessages.js";
export { DOMAINS } from "./MeasuredDocument.js";
export { computeLinearFit, computePercentile, printRows } from "./Statistics.js";
export type { LinearFit } from "./Statistics.js";
