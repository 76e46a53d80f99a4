export { CostlyReads } from "./CostlyReads.js";
export type { CostlyReader } from "./CostlyReads.js";
export { registerPacedRequests } from "./PacedRequests.js";
