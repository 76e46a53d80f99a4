/** Claims of idempotency keys, so that a non-repeatable request runs at most once in the mesh. */
export { createForwardedHandler, createForwardingCommitter } from "./ClaimForwarding.js";
export type { ForwardingOptions, HandleForwarded, SendClaim } from "./ClaimForwarding.js";
export { createHolderChoice } from "./ClaimHolders.js";
export { createClaimLedger } from "./ClaimLedger.js";
export type { ClaimLedger, ClaimLedgerOptions, ClaimSettings } from "./ClaimLedger.js";
export type * from "./ClaimPort.js";
export {
    decodeCommitResult,
    decodeForwardedOperation,
    encodeCommitResult,
    encodeForwardedOperation,
} from "./ForwardedOperation.js";
export type { ForwardedOperation } from "./ForwardedOperation.js";
export type { CommitFailure, CommitResult, ShardCommitter, SubmitOptions } from "./ShardCommitter.js";
export type { Wait } from "./Waiting.js";
