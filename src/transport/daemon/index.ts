export { startDaemon } from "./Daemon.js";
export type { Daemon, DaemonDependencies } from "./DaemonOptions.js";
export type { DaemonStatus, InForceStatus } from "./DaemonStatus.js";
