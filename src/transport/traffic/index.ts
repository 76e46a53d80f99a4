export { CallerListener } from "./CallerListener.js";
export type { CallerListenerOptions } from "./CallerListener.js";
export { HedgeManager } from "./HedgeManager.js";
export { computeDistance, ServerDirectory } from "./ServerDirectory.js";
