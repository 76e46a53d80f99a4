export { reviewDraft } from "./DraftReview.js";
export type { Conflict, ReviewResult } from "./DraftReview.js";
export { publishDraft, resolvePublication } from "./Publication.js";
export type { PublicationResult } from "./Publication.js";
