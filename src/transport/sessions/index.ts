export type { SessionRequestEvents } from "./OwnerSession.js";
export { OwnerSession } from "./OwnerSession.js";
export { SessionHub } from "./SessionHub.js";
export type { SessionHubOptions } from "./SessionHub.js";
export { createSessionNetwork } from "./SessionNetwork.js";
export type { OwnCondition, PeerCondition, SessionEffects } from "./SessionTypes.js";
