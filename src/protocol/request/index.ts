export { CLAIM_FORWARDING_PATH, CLAIM_MESSAGE_MAXIMUM_BYTES } from "./ClaimMessage.js";
export { appendDeadline, parseDeadlineMs } from "./DeadlineHeader.js";
export { isValidHeaderList } from "./HeaderSyntax.js";
export {
    LEASE_MESSAGE_MAXIMUM_BYTES,
    LEASE_RENEWAL_PATH,
    parseLeaseAnswer,
    parseLeaseRenewal,
} from "./LeaseMessage.js";
export type { LeaseAnswer, LeaseRenewal } from "./LeaseMessage.js";
export { formatLoadReport, parseLoadReport } from "./LoadReport.js";
export type { LoadReport } from "./LoadReport.js";
export {
    EXECUTION_ONCE,
    IDEMPOTENCY_KEY_HEADER,
    IDEMPOTENCY_KEY_MAXIMUM_LENGTH,
    isMeshHeader,
    MeshHeader,
    REQUEST_ID_HEADER,
} from "./MeshHeaders.js";
export { getRefusalStatus, Outcome, parseOutcome, parseRefusalReason, RefusalReason } from "./Outcome.js";
export { deriveRelayToken, verifyRelayToken } from "./RelayToken.js";
export {
    computeFingerprint,
    computeFingerprintPrefix,
    getFingerprintPrefix,
    isFingerprint,
} from "./RequestFingerprint.js";
export type { FingerprintSource } from "./RequestFingerprint.js";
