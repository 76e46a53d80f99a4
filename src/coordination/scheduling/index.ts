export { RateLimit } from "./RateLimit.js";
export { SlotQueue } from "./SlotQueue.js";
export type { SlotChanges, SlotRefusal, SlotRequest, SlotWaitEstimates } from "./SlotQueue.js";
export { WorkTimeEstimator } from "./WorkTimeEstimator.js";
