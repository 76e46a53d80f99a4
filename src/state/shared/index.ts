export { hashText } from "./HashText.js";
export { invariant } from "./invariant.js";
export type { Random } from "./Random.js";
export { computeRendezvousHash, rankByRendezvousHash } from "./RendezvousHash.js";
export { createSeededRandom } from "./SeededRandom.js";
