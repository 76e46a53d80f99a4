export { startDaemon } from "./Daemon.js";
export type { Daemon, DaemonEffects } from "./DaemonOptions.js";
export type { DaemonStatus, InForceStatus } from "./DaemonStatus.js";
