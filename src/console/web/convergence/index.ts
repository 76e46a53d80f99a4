export { computeConvergence } from "./Convergence.js";
export type { Convergence, DaemonShare, DomainConvergence, RegionConvergence } from "./Convergence.js";
