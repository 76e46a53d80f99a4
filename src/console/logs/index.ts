export { collectStory, formatStory, parseLoggedLine } from "./RequestStory.js";
export type { LoggedLine, RequestStory } from "./RequestStory.js";
