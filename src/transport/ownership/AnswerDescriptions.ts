/** Parts of an answer's head, and descriptions of how an answer has ended. */
import { AnswerResult, ConnectionEnd } from "../../protocol/framing/index.js";

export function describeEnd(end: ConnectionEnd): string {
    return end === ConnectionEnd.Reset ? "reset the connection" : "closed the connection";
}

export function describeProgress(result: AnswerResult, bodyBytes: number): string {
    return result === AnswerResult.Cut
        ? `the answer is cut after ${bodyBytes} bytes of its body`
        : "there is no answer";
}

/** Copies headers into a map, by lower-case names; returns the first of those that occur once which is there again. */
export function copyHeaders(
    headers: readonly string[],
    map: Map<string, string>,
    isSingle: (name: string) => boolean,
): string | undefined {
    let repeated: string | undefined;
    for (let index = 0; index + 1 < headers.length; index += 2) {
        const name = (headers[index] as string).toLowerCase();
        if (map.has(name) && isSingle(name)) {
            repeated ??= name;
        }
        map.set(name, headers[index + 1] as string);
    }
    return repeated;
}
