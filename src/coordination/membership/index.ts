export { listCutOffDomains, updateUnreachable } from "./CutOff.js";
export type { UnreachableSince } from "./CutOff.js";
export { SuspicionTracker } from "./SuspicionTracker.js";
