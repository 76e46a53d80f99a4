export type * from "./StorePort.js";
