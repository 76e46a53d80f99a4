export { QuarantineArchive } from "./QuarantineArchive.js";
export { QuarantineManager } from "./QuarantineManager.js";
export type { CrashMessage, QuarantineManagerOptions, Suspicion } from "./QuarantineManager.js";
