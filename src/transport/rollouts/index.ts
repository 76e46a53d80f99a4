export type { CallerExposure } from "./CallerExposure.js";
export type { RolloutMessage } from "./RolloutGossip.js";
export { RolloutManager } from "./RolloutManager.js";
export type { RolloutManagerOptions } from "./RolloutManager.js";
