export { SlotQueue } from "./SlotQueue.js";
export type { SlotChanges, SlotRefusal, SlotRequest, SlotWaits } from "./SlotQueue.js";
export { WorkEstimates } from "./WorkEstimates.js";
