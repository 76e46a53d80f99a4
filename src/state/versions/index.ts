export { computeHash, createResource, formatCanonicalJson } from "./ResourceContent.js";
export type { Head, Manifest, Resource, Snapshot, VersionDelta } from "./Version.js";
