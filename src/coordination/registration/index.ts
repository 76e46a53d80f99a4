export { ReportVerdict, ServerPhase, ServerRegistration } from "./ServerRegistration.js";
export type { RegisteredServer, ServerReport } from "./ServerRegistration.js";
