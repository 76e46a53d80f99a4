export type * from "./ClaimPort.js";
