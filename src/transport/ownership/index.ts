export { AdmissionController } from "./AdmissionController.js";
export type { AdmissionControllerOptions } from "./AdmissionController.js";
export type { RunningRequest } from "./CrashDetector.js";
export { checkHealth } from "./HealthCheck.js";
export type { AnswerHead, OwnedRequest, OwnerRefusal, RequestEvents, RequestHandle } from "./OwnedRequest.js";
export { DropMoment } from "./SecondAnswers.js";
export type { ConfirmationDependencies } from "./ServerConfirmation.js";
