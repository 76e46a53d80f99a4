export { invariant } from "./invariant.js";
export type { Random } from "./Random.js";
export { hashRendezvous, rankByRendezvous } from "./RendezvousHash.js";
export { createSeededRandom } from "./SeededRandom.js";
