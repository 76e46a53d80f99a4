/** Validity of a slot lease. The holder counts from sending its renewal, the owner from receiving it. */
export const LEASE_DURATION_MS = 2_000;
/** Interval at which a holder renews its leases. */
export const LEASE_RENEWAL_INTERVAL_MS = 1_000;
/** Slots that an owner reserves for its own and relayed requests. */
export const RESERVED_SLOTS = 2;
/** A lease that carried no requests for this long is returned. */
export const LEASE_IDLE_TIMEOUT_MS = 5_000;
/** A requester displaces a holder only if it sent more than this many times the requests; prevents alternation. */
export const DISPLACEMENT_FACTOR = 2;
/**
 * Maximum share of a server's slots that its owner leaves free for owed leases. Without free slots an
 * owner whose own requests use every slot would never lease any.
 */
export const MAXIMUM_OWED_SHARE = 1 / 6;
/** Minimum interval between renewals that are sent early because demand grew. */
export const EARLY_RENEWAL_INTERVAL_MS = 200;
