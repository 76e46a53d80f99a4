export type { SessionRequestEvents } from "./OwnerSession.js";
export { OwnerSession } from "./OwnerSession.js";
export { SessionManager } from "./SessionManager.js";
export type { SessionManagerOptions } from "./SessionManager.js";
export { createSessionNetwork } from "./SessionNetwork.js";
export type { LocalStatus, PeerStatus, SessionDependencies } from "./SessionTypes.js";
