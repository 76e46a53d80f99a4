export { createDaemonClient } from "./DaemonClient.js";
export type { DaemonClient, DaemonClientOptions, DaemonError, ExplainedRequest } from "./DaemonClient.js";
