export type * from "./ConfigurationPort.js";
export { parseMeshSummary } from "./MeshStatus.js";
export type { DomainStatus, MeshSummary, ServiceStatus } from "./MeshStatus.js";
export { createStoreConfiguration } from "./StoreConfiguration.js";
export type { StoreConfigurationOptions } from "./StoreConfiguration.js";
