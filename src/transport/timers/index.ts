export { realTimers, scheduleRepeating, sleepFor, withTimeout } from "./Timers.js";
export type { Timers } from "./Timers.js";
