/** A backend server renews its announcement this often. */
export const RENEWAL_INTERVAL_MS = 1000;
/** A server that missed this many renewals is announced as dead. */
export const MISSED_RENEWALS_LIMIT = 3;
/** A server that neither renews nor answers requests is probed this often. */
export const PROBE_IDLE_MS = 5000;
