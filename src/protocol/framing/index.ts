export {
    AnswerResult,
    buildAnswerHeaders,
    classifyAnswer,
    ConnectionEnd,
    FramingKind,
    hasTwoFramings,
    isBodilessStatus,
    isFinalStatus,
    isMalformedFramingField,
    isValidStatus,
    parseStatedLength,
    selectAnswerFraming,
    selectCallerFraming,
} from "./AnswerFraming.js";
export type { AnswerContext, AnswerFraming, AnswerProgress } from "./AnswerFraming.js";
export { copyRequestHeaders, copyTrailers } from "./HopFields.js";
