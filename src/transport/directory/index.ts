export { ConfigurationManager } from "./ConfigurationManager.js";
export type {
    CompressedConfiguration,
    ConfigurationManagerOptions,
    DecodeConfiguration,
    ReachablePeer,
} from "./ConfigurationManager.js";
export { WATCH_GRACE_MS } from "./DirectoryConstants.js";
export { MemberGossip } from "./MemberGossip.js";
export type { MemberMessage } from "./MemberGossip.js";
export { MemberRegistry } from "./MemberRegistry.js";
export type { MemberRegistryOptions } from "./MemberRegistry.js";
