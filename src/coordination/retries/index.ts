export { generateBackoffDelays } from "./Backoff.js";
export { RetryBudget } from "./RetryBudget.js";
export type { RetryBudgetSettings } from "./RetryBudget.js";
export { SharedRetryBudget } from "./SharedRetryBudget.js";
export type { SharedRetryLimits } from "./SharedRetryBudget.js";
