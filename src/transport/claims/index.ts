/** Forwarding of claims between daemons over their relay ports. */
export { createClaimReceiver } from "./ClaimReceiver.js";
export type { HandleClaimMessage } from "./ClaimReceiver.js";
export { createClaimSender } from "./ClaimSender.js";
export type { ClaimSender } from "./ClaimSender.js";
