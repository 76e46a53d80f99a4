export { checkAnswer, CONTENT_HASH_HEADER, REQUEST_TAG_HEADER } from "./BackendAnswer.js";
export { startBackendServer } from "./BackendServer.js";
export type { BackendServer } from "./BackendServer.js";
export { BACKEND_SERVER_DEFAULTS, NO_FAULTS, ReportingFault } from "./BackendServerOptions.js";
export type { BackendFaults, BackendServerOptions, RequestExecution } from "./BackendServerOptions.js";
export type { BackendStatistics } from "./BackendStatistics.js";
