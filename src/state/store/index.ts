export type * from "./MeshStorePort.js";
export { MAXIMUM_VALUE_BYTES } from "./StoreConstants.js";
export type * from "./StorePort.js";
