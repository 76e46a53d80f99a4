/** Claims of idempotency keys, so that a non-repeatable request runs at most once in the mesh. */
export { createClaimLedger } from "./ClaimLedger.js";
export type { ClaimLedger, ClaimLedgerOptions, ClaimSettings } from "./ClaimLedger.js";
export type * from "./ClaimPort.js";
export type { CommitFailure, CommitResult, ShardCommitter, SubmitOptions } from "./ShardCommitter.js";
export type { Wait } from "./Waiting.js";
