export { QuotaManager } from "./QuotaManager.js";
export type { QuotaManagerOptions, QuotaMessage, QuotaReport } from "./QuotaManager.js";
