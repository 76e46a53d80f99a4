export { PausedDirection, startLoopbackProxy } from "./LoopbackProxy.js";
export type { LoopbackProxy } from "./LoopbackProxy.js";
