export type { SessionRequestEvents } from "./OwnerSession.js";
export { OwnerSession } from "./OwnerSession.js";
export { CONNECT_TIMEOUT_MS } from "./SessionConstants.js";
export { SessionHub } from "./SessionHub.js";
export type { SessionHubOptions } from "./SessionHub.js";
export type { OwnCondition, PeerCondition, SessionEffects } from "./SessionTypes.js";
