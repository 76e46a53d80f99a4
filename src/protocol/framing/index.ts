export {
    isBodilessStatus,
    isFinalStatus,
    isValidStatus,
    parseStatedLength,
    replaceStatedLength,
} from "./AnswerFraming.js";
