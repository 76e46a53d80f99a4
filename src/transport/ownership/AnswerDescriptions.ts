/** Descriptions of how an answer has ended. */
import { AnswerResult, ConnectionEnd } from "../../protocol/framing/index.js";

export function describeEnd(end: ConnectionEnd): string {
    return end === ConnectionEnd.Reset ? "reset the connection" : "closed the connection";
}

export function describeProgress(result: AnswerResult, bodyBytes: number): string {
    return result === AnswerResult.Cut
        ? `the answer is cut after ${bodyBytes} bytes of its body`
        : "there is no answer";
}
