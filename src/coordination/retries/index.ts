export { generateBackoffDelays } from "./Backoff.js";
export { RetryBudget } from "./RetryBudget.js";
export type { RetryBudgetSettings } from "./RetryBudget.js";
