export { CallerListener } from "./CallerListener.js";
export type { CallerListenerOptions } from "./CallerListener.js";
export { computeDistance, ServerDirectory } from "./ServerDirectory.js";
