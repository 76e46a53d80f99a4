export { ConfigurationManager } from "./ConfigurationManager.js";
export type { ConfigurationManagerOptions, DecodeConfiguration, ReachablePeer } from "./ConfigurationManager.js";
export { WATCH_GRACE_MS } from "./DirectoryConstants.js";
export { MemberRegistry } from "./MemberRegistry.js";
export type { MemberRegistryOptions } from "./MemberRegistry.js";
