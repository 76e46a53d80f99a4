export { createStoreClient } from "./StoreClient.js";
export type { StoreClient, StoreClientOptions } from "./StoreClient.js";
export type { TransferredBytes } from "./TransferCounter.js";
