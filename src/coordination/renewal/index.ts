export { ServerWatch } from "./ServerWatch.js";
export type { AnnouncedState, AnnounceServer, ReportedLoad, WatchedServer } from "./ServerWatch.js";
export { MISSED_RENEWALS_LIMIT, PROBE_IDLE_MS, RENEWAL_INTERVAL_MS } from "./ServerWatchConstants.js";
