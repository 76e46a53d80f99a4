export type * from "./ConfigurationPort.js";
export { parseRegionStatus } from "./RegionStatusParser.js";
export { createStoreConfiguration } from "./StoreConfiguration.js";
export type { StoreConfigurationOptions } from "./StoreConfiguration.js";
