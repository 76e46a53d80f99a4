/** Claims of idempotency keys, so that a non-repeatable request runs at most once in the mesh. */
export { createForwardedOperationHandler, createForwardingCommitter } from "./ClaimForwarding.js";
export type { ForwardingOptions, HandleForwardedOperation, SendClaim } from "./ClaimForwarding.js";
export { createClaimManager } from "./ClaimManager.js";
export type { ClaimManager, ClaimManagerOptions, ClaimSettings } from "./ClaimManager.js";
export type * from "./ClaimPort.js";
export {
    decodeCommitResult,
    decodeForwardedOperation,
    encodeCommitResult,
    encodeForwardedOperation,
} from "./ForwardedOperation.js";
export type { ForwardedOperation } from "./ForwardedOperation.js";
export { createHolderSelector } from "./HolderSelection.js";
export type { CommitFailure, CommitResult, ShardCommitter, SubmitOptions } from "./ShardCommitter.js";
export type { Wait } from "./Waiting.js";
