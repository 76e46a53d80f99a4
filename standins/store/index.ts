export type { FaultSwitches, StoreCounters } from "./StoreFaults.js";
export { startStoreServer } from "./StoreServer.js";
export type { StoreServer, StoreServerOptions } from "./StoreServer.js";
