import type { StoredAnswer } from "../../state/claims/index.js";
import type { RecordedAnswer } from "./ClaimPort.js";

/** Encodes an answer for the store; undefined when headers and body together exceed the limit. */
export function encodeAnswer(answer: RecordedAnswer, limitBytes: number): StoredAnswer | undefined {
    const headerBytes = answer.headers.reduce((sum, [name, value]) => sum + name.length + value.length, 0);
    if (headerBytes + answer.body.byteLength > limitBytes) {
        return undefined;
    }
    return {
        status: answer.status,
        headers: answer.headers,
        body: Buffer.from(answer.body).toString("base64"),
    };
}

export function decodeAnswer(answer: StoredAnswer): RecordedAnswer {
    return { ...answer, body: Buffer.from(answer.body, "base64") };
}
