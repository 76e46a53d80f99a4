/** What daemons and the allocator tell each other. Amounts are whole requests within the window. */

/** Demand of one tenant at one daemon. */
export interface DemandEntry {
    /** Place in the table of limited tenants. */
    readonly tenant: number;
    /** Requests that arrive within a window, whether served or refused. */
    readonly wanted: number;
    /** Requests that have proceeded within the last window. */
    readonly used: number;
    /** Requests refused since the last demand. */
    readonly refused: number;
}

/** A daemon's loan and demand, for one allocator. */
export interface QuotaDemand {
    /** Names the sender's process. */
    readonly run: number;
    readonly sequence: number;
    /** Process of the allocator to which the share is lent; 0 if the sender doesn't know it yet. */
    readonly allocatorRun: number;
    /** Last grant of that process that was taken; 0 before the first. */
    readonly grantSequence: number;
    /** Daemons among which the limits are divided; the share lent is one part of them. 0: nothing is lent. */
    readonly shareDivisor: number;
    /** Hash of the names of the limited tenants; a demand counts only at a daemon with the same ones. */
    readonly table: number;
    readonly entries: readonly DemandEntry[];
}

/** Limit of one tenant at one daemon. */
export interface GrantEntry {
    readonly tenant: number;
    /** Requests that may proceed within any window. */
    readonly quota: number;
}

/** Limits that replace those of earlier grants of the same allocator; tenants that aren't named have none. */
export interface QuotaGrant {
    /** Names the allocator's process. */
    readonly run: number;
    readonly sequence: number;
    /** Process for which the grant is made. */
    readonly holderRun: number;
    /** Last demand of that process; the grant's term counts from when that was sent. */
    readonly demandSequence: number;
    readonly table: number;
    readonly entries: readonly GrantEntry[];
}
