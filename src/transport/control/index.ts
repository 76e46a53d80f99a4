export { startControlInterface } from "./ControlInterface.js";
export type { ControlHealth, ControlInterface, ControlOptions } from "./ControlInterface.js";
export type { ExplainQuery } from "./ControlMessages.js";
export { registerHeaderCheck } from "./HeaderCheck.js";
