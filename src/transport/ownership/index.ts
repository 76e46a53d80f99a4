export { checkHealth } from "./HealthCheck.js";
export type { AnswerHead, OwnedHandle, OwnedRequest, OwnerEvents, OwnerRefusal } from "./OwnedRequest.js";
export { OwnerGate } from "./OwnerGate.js";
export type { OwnerGateOptions } from "./OwnerGate.js";
export type { ConfirmationEffects } from "./ServerConfirmation.js";
