export { collectTimeline, formatTimeline, parseLogLine } from "./RequestTimeline.js";
export type { LogLine, RequestTimeline } from "./RequestTimeline.js";
