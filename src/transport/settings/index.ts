export { DAEMON_FLAGS, deriveVariable } from "./DaemonFlags.js";
export { parseDaemonSettings } from "./DaemonSettings.js";
export type { DaemonSettings, LogLevel } from "./DaemonSettings.js";
export type { HostAndPort, SettingFinding } from "./SettingsReader.js";
