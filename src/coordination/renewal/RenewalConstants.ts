/** Interval at which a backend server renews its announcement. */
export const RENEWAL_INTERVAL_MS = 1000;
/** Missed renewals after which a server is announced as dead. */
export const MISSED_RENEWALS_LIMIT = 3;
/** Interval at which a server that neither renews nor answers requests is probed. */
export const PROBE_IDLE_MS = 5000;
