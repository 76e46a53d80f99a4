export { ReportResult, ServerPhase, ServerRegistration } from "./ServerRegistration.js";
export type { RegisteredServer, ServerIdentity, ServerReport } from "./ServerRegistration.js";
