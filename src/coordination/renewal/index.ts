export { MISSED_RENEWALS_LIMIT, PROBE_IDLE_MS, RENEWAL_INTERVAL_MS } from "./RenewalConstants.js";
export { ServerStateTracker } from "./ServerStateTracker.js";
export type { AnnouncedState, AnnounceServer, ReportedLoad, TrackedServer } from "./ServerStateTracker.js";
