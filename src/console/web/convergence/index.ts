export { computeConvergence } from "./Convergence.js";
export type { Convergence, DomainConvergence, RegionConvergence, ScarceService, Share } from "./Convergence.js";
