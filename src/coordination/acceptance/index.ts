export { describeLoadError } from "./AcceptanceTypes.js";
export type { ApplyOutcome, LoadError, StoreAccess, VersionSummary } from "./AcceptanceTypes.js";
export { applyDocument } from "./DocumentAcceptance.js";
export type { ApplyRequest } from "./DocumentAcceptance.js";
export { readHead, readHistory, readVersion } from "./History.js";
export type { StoredHead } from "./History.js";
export { loadSnapshot } from "./SnapshotLoading.js";
export { createRetryingRead } from "./StoreRetries.js";
