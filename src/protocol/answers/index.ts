export { AnswerMatch, matchAnswer } from "./AnswerMatching.js";
export type { AnswerHeadLines, MatchedAnswer, WaitingRequest } from "./AnswerMatching.js";
