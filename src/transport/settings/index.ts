export { DAEMON_FLAGS, deriveVariableName } from "./DaemonFlags.js";
export { parseDaemonSettings } from "./DaemonSettings.js";
export type { DaemonSettings, LogLevel } from "./DaemonSettings.js";
export { collectDefaults, collectFlags } from "./FlagParsing.js";
export type { HostAndPort, ReadTextFile, SettingFinding } from "./SettingsReader.js";
export { SettingsReader } from "./SettingsReader.js";
