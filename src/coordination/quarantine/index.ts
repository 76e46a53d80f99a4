export { CrashLedger, VerdictKind } from "./CrashLedger.js";
export type { Crash, CrashRecords, Suspect, Verdict } from "./CrashLedger.js";
export {
    MAXIMUM_CRASHES,
    MAXIMUM_SUSPECTS_PER_CRASH,
    MAXIMUM_VERDICTS,
    QUARANTINE_RETENTION_MS,
} from "./QuarantineConstants.js";
