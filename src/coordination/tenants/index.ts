export { Access, computeAccess, computeQueryDigest, findDigestFinding, findKeyFinding, isDenied } from "./Access.js";
export type { KeyFinding, VersionState } from "./Access.js";
