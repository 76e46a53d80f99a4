export { AnswerMatch, findAnsweredRequest, matchAnswer } from "./AnswerMatching.js";
export type { AnswerHeadLines, MatchedAnswer, WaitingRequest } from "./AnswerMatching.js";
export { SentRequestIds } from "./SentRequestIds.js";
