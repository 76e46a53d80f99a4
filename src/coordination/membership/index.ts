export { listCutOff, updateUnreached } from "./CutOff.js";
export type { UnreachedSince } from "./CutOff.js";
export { Suspicions } from "./Suspicions.js";
