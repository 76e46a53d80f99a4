export { invariant } from "./invariant.js";
export type { Random } from "./Random.js";
export { createSeededRandom } from "./SeededRandom.js";
