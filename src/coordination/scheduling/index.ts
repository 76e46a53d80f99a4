export { SlotQueue } from "./SlotQueue.js";
export type { SlotChanges, SlotRefusal, SlotRequest } from "./SlotQueue.js";
export { WorkEstimates } from "./WorkEstimates.js";
