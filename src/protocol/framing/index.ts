export { parseStatedLength, replaceStatedLength } from "./AnswerFraming.js";
