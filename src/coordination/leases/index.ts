export { HeldLeases } from "./HeldLeases.js";
export type { ClassShare, RenewalPlan } from "./HeldLeases.js";
export { LEASE_DURATION_MS, LEASE_RENEWAL_INTERVAL_MS, RESERVED_SLOTS } from "./LeaseConstants.js";
export { LeaseGrants } from "./LeaseGrants.js";
export type { GrantLimits, LeaseRequest } from "./LeaseGrants.js";
