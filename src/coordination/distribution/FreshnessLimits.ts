/**
 * Divides the time in which a version has to be in force everywhere among its steps, counted from the moment at which
 * an older one was last confirmed as the newest: notice, take over, read, spread.
 */

/** Ages of a confirmation, in milliseconds, at which something is done. */
export interface FreshnessLimits {
    /** A daemon that watches the store asks it again, so that other daemons needn't. */
    readonly confirmAfterMs: number;
    /** A daemon no longer relies on those that watch the store. */
    readonly takeOverAfterMs: number;
    /** Time over which the daemons of a region take over, one after the other. */
    readonly takeoverSpreadMs: number;
    /** A daemon reads from the store a version that others have, but that has not arrived. */
    readonly readLateAfterMs: number;
    /** Time that a copy has to arrive after a daemon has learned of its version, before the store is read. */
    readonly copyTimeMs: number;
    /** The lease of a version is renewed when a request is decided, without delaying the request. */
    readonly renewLeaseAfterMs: number;
    /** A version no longer decides without a renewal of its lease. */
    readonly leaseMs: number;
}

const CONFIRM_SHARE = 0.28;
const TAKE_OVER_SHARE = 0.5;
const TAKEOVER_SPREAD_SHARE = 0.2;
const READ_LATE_SHARE = 0.65;
const COPY_SHARE = 0.1;
const RENEW_LEASE_SHARE = 0.8;
/** Below the deadline, since clocks of VMs differ in rate and ages are rounded. */
const LEASE_SHARE = 0.95;
/** Shorter ones would take more of the store's rate than versions are worth. */
const MINIMUM_CONFIRM_AFTER_MS = 300;

/** Derives the limits from the time in which a version has to be in force after its acknowledgement. */
export function deriveFreshnessLimits(deadlineMs: number): FreshnessLimits {
    return {
        confirmAfterMs: Math.max(MINIMUM_CONFIRM_AFTER_MS, CONFIRM_SHARE * deadlineMs),
        copyTimeMs: COPY_SHARE * deadlineMs,
        leaseMs: Math.max(4 * MINIMUM_CONFIRM_AFTER_MS, LEASE_SHARE * deadlineMs),
        readLateAfterMs: READ_LATE_SHARE * deadlineMs,
        renewLeaseAfterMs: Math.max(3 * MINIMUM_CONFIRM_AFTER_MS, RENEW_LEASE_SHARE * deadlineMs),
        takeOverAfterMs: Math.max(2 * MINIMUM_CONFIRM_AFTER_MS, TAKE_OVER_SHARE * deadlineMs),
        takeoverSpreadMs: TAKEOVER_SPREAD_SHARE * deadlineMs,
    };
}
