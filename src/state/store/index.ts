export { MAXIMUM_VALUE_BYTES } from "./StoreConstants.js";
export type * from "./StorePort.js";
export type * from "./MeshStorePort.js";
