/** Logs as JSON lines, with a fixed prefix for each part of the program. */
export { createAccessLog } from "./AccessLog.js";
export { BoundedOutput } from "./BoundedOutput.js";
export type { WriteBytes } from "./BoundedOutput.js";
export { createLogger, LOG_LEVELS, parseLogLevel } from "./Logger.js";
export type { CreatePartLogger, LogFields, LoggerOptions, LogLevel, PartLogger, WriteLog } from "./Logger.js";
