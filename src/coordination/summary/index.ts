export { EMPTY_SUMMARY, mergeSummaries, SUMMARY_ENTRIES_LIMIT } from "./Summary.js";
export type { MeshSummary, VersionCount, WaitingCount } from "./Summary.js";
