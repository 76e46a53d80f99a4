export { findMissing } from "./Dependencies.js";
export { drawBackoff, selectIntervals } from "./Intervals.js";
export type { DistributionIntervals } from "./Intervals.js";
export { computeReleasable, isHeldByDomain, UNWITNESSED_RELEASE_AFTER_MS } from "./Release.js";
export { shouldWatchStore } from "./StoreWatchers.js";
export type { WatcherQuery } from "./StoreWatchers.js";
export { computePosition, listDomainRelays, listRegions, TREE_FANOUT, UNJOINED_POSITION } from "./Tree.js";
export type { TreePosition } from "./Tree.js";
export {
    addSnapshot,
    advanceInForce,
    EMPTY_LEDGER,
    getNewest,
    getReceivedVersion,
    raiseFloor,
    raiseReleased,
} from "./VersionLedger.js";
export type { Preparation, VersionLedger } from "./VersionLedger.js";
