export { COOKIE_NAME, getSession, registerAccessHooks } from "./AccessHooks.js";
export type { AccessOptions } from "./AccessHooks.js";
export { createSessions, SESSION_LIFETIME_MS } from "./Sessions.js";
export type { Session, Sessions } from "./Sessions.js";
