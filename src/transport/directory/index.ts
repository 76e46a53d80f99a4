export { ConfigurationKeeper } from "./ConfigurationKeeper.js";
export type { ConfigurationKeeperOptions, DecodeConfiguration, ReachablePeer } from "./ConfigurationKeeper.js";
export { WATCH_GRACE_MS } from "./DirectoryConstants.js";
export { MemberKeeper } from "./MemberKeeper.js";
export type { MemberKeeperOptions } from "./MemberKeeper.js";
