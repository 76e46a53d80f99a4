export { AgeClock } from "./AgeClock.js";
export type { AgeClockOptions } from "./AgeClock.js";
export { realTimers, scheduleRepeating, sleepFor, withTimeout } from "./Timers.js";
export type { Timers } from "./Timers.js";
