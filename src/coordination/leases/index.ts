export { HeldLeases } from "./HeldLeases.js";
export type { RenewalPlan, SlotSharing } from "./HeldLeases.js";
export { LEASE_MS, LEASE_RENEWAL_INTERVAL_MS, RESERVED_SLOTS } from "./LeaseConstants.js";
export { LeaseGrants } from "./LeaseGrants.js";
export type { GrantLimits, LeaseRequest } from "./LeaseGrants.js";
