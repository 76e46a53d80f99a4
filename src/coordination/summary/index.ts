export { createRegionStatus } from "./RegionStatus.js";
export type { CutOffStatus, RegionStatus, ScarceService } from "./RegionStatus.js";
export {
    EMPTY_SUMMARY,
    mergeSummaries,
    SUMMARY_DOMAINS_LIMIT,
    SUMMARY_ENTRIES_LIMIT,
    withDomainCount,
} from "./Summary.js";
export type { DomainCount, MeshSummary, VersionCount, WaitingCount } from "./Summary.js";
