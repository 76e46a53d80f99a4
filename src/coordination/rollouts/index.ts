export { BaselineTracker } from "./BaselineTracker.js";
export { computeActiveCount, selectActive } from "./CandidateSelection.js";
export { Evidence, findRejection, isWanted, reviewEvidence, sumRoutes } from "./EvidenceReview.js";
export { ExposureLimiter } from "./ExposureLimiter.js";
export { computeSlackLeft } from "./ExposureSlack.js";
export {
    COLD_START_FACTOR,
    DEFAULT_FINISH_MS,
    MAXIMUM_ACTIVE_CANDIDATES,
    MAXIMUM_ROUTES,
    MAXIMUM_VERSIONS,
    SHARE_IN_USE,
} from "./RolloutConstants.js";
export { isFinal, NO_RECORDS, RolloutLedger } from "./RolloutLedger.js";
export { ALL_ROUTES, DecisionKind, OwnerPhase, RolloutStage, RolloutState } from "./RolloutTypes.js";
export type {
    Baseline,
    OwnerReport,
    Rollout,
    RolloutDecision,
    RolloutLoad,
    RolloutOrder,
    RolloutRecords,
    RouteSums,
    ServingVersion,
    StoredOrder,
} from "./RolloutTypes.js";
export { selectPhase } from "./ServerGate.js";
export { computePromotionTime, planStep } from "./StatusPlan.js";
export type { StatusStep } from "./StatusPlan.js";
export { VersionEvidence } from "./VersionEvidence.js";
