/** Claims of idempotency keys: entries, shards and the operations that change them. */
export { ClaimState } from "./Claim.js";
export type { CancelledAttempt, Claim, ClaimShard, SealedReference, StoredAnswer } from "./Claim.js";
export {
    ClaimSchema,
    decodeLayout,
    decodeSealedClaims,
    decodeShard,
    encodeClaims,
    ShardOperationSchema,
} from "./ClaimEncoding.js";
export { formatSealedKey, formatShardKey, hashKey, LAYOUT_KEY, selectShard } from "./ClaimKeys.js";
export { applyOperations } from "./ClaimOperations.js";
export type {
    AppliedOperations,
    ApplyContext,
    ClaimOperation,
    SettleOperation,
    ShardOperation,
} from "./ClaimOperations.js";
