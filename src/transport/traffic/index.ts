export { CallerListener } from "./CallerListener.js";
export type { CallerListenerOptions } from "./CallerListener.js";
export { computeDistance, ServerDirectory } from "./ServerDirectory.js";
export { RETRY_BUDGET_SHARE } from "./TrafficConstants.js";
