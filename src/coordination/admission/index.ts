export type { AdmissionDecision, AdmissionLimits, AdmissionRefusal, AdmissionRequest } from "./AdmissionTypes.js";
export { ServerAdmission } from "./ServerAdmission.js";
