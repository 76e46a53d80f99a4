export { AnswerSizeEstimator } from "./AnswerSizeEstimator.js";
export { LARGE_ANSWER_BYTES, LinkBudget } from "./LinkBudget.js";
export { LinkPacer } from "./LinkPacer.js";
export { ProcessorShare } from "./ProcessorShare.js";
export { RateLimit } from "./RateLimit.js";
export { SlotQueue } from "./SlotQueue.js";
export type { SlotChanges, SlotRefusal, SlotRequest, SlotWaitEstimates } from "./SlotQueue.js";
export { WorkTimeEstimator } from "./WorkTimeEstimator.js";
