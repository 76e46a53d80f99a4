export { OverloadDetector } from "./OverloadDetector.js";
export type { LoopSample } from "./OverloadDetector.js";
