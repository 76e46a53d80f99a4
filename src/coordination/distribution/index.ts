export { DecisionAges } from "./DecisionAges.js";
export { findMissingDependencies } from "./Dependencies.js";
export { deriveFreshnessLimits } from "./FreshnessLimits.js";
export type { FreshnessLimits } from "./FreshnessLimits.js";
export { computeBackoffDelay, selectIntervals } from "./Intervals.js";
export type { DistributionIntervals } from "./Intervals.js";
export { generateRenewalSteps, RenewalStepKind } from "./LeaseRenewal.js";
export type { RenewalStep } from "./LeaseRenewal.js";
export { selectNeighbours } from "./Neighbours.js";
export { computeReleasableVersion, isHeldByDomain, UNWITNESSED_RELEASE_TIMEOUT_MS } from "./Release.js";
export { StoreWatchers } from "./StoreWatchers.js";
export type { RegionMember, WatchReport } from "./StoreWatchers.js";
export { computeTreePosition, listDomainRelays, listRegions, TREE_FANOUT, UNJOINED_POSITION } from "./Tree.js";
export type { TreePosition } from "./Tree.js";
export { VersionFreshness } from "./VersionFreshness.js";
export type { Confirmation, ConfirmedVersion } from "./VersionFreshness.js";
export { OWN_DECISION_LIMIT_MS, VersionLag } from "./VersionLag.js";
export {
    addSnapshot,
    advanceInForce,
    EMPTY_VERSION_STATE,
    getNewestSnapshot,
    getReceivedVersion,
    raiseFloor,
    raiseReleased,
} from "./VersionState.js";
export type { Preparation, VersionState } from "./VersionState.js";
