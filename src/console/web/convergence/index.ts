export { computeConvergence } from "./Convergence.js";
export type { Convergence, DomainConvergence, RegionConvergence, Share } from "./Convergence.js";
