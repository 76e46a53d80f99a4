export { AgeClock } from "./AgeClock.js";
export type { AgeClockOptions } from "./AgeClock.js";
export {
    createTimers,
    realTimers,
    scheduleRepeating,
    scheduleTimeout,
    sleepFor,
    withTimeout,
    withTimeoutSignal,
} from "./Timers.js";
export type { EventLoop, Timers } from "./Timers.js";
