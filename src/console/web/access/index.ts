export { COOKIE_NAME, getSession, registerAccessHooks } from "./AccessHooks.js";
export type { AccessOptions } from "./AccessHooks.js";
export { createSessionManager, SESSION_LIFETIME_MS } from "./SessionManager.js";
export type { Session, SessionManager } from "./SessionManager.js";
