/** Web console for operators. */
export { createConsole } from "./ConsoleServer.js";
export type { ConsoleOptions } from "./ConsoleServer.js";
export { createStoreConfiguration, parseRegionStatus } from "./ports/index.js";
export type {
    AcceptedDocument,
    ConfigurationPort,
    ProposalResult,
    ProposedDocument,
    ReadFailure,
    ReadResult,
    ReportedStatus,
    StoreConfigurationOptions,
    VersionRecord,
} from "./ports/index.js";
export { CONSOLE_FLAGS, parseConsoleSettings } from "./settings/index.js";
export type { ConsoleSettings } from "./settings/index.js";
