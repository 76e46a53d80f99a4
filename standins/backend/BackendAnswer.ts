import { createHash } from "node:crypto";

/** Header with the SHA-256 of the answer's body, by which a caller detects a truncated answer. */
export const CONTENT_HASH_HEADER = "x-content-sha256";
/** Header with the caller's tag for its request; the answer's first line repeats it. */
export const REQUEST_TAG_HEADER = "x-request-tag";

export interface AnswerDescription {
    readonly service: string;
    readonly server: string;
    readonly path: string;
    readonly tag: string | undefined;
    /** SHA-256 of the request's body, hexadecimal. */
    readonly received: string;
}

export interface BackendAnswer {
    readonly body: Buffer;
    readonly hash: string;
}

/** Builds an answer whose first line describes the request, padded to `bytes`. */
export function buildAnswer(description: AnswerDescription, bytes: number): BackendAnswer {
    const firstLine = `${JSON.stringify(description)}\n`;
    const filler = `${description.tag ?? description.path} `;
    const paddingBytes = Math.max(0, bytes - Buffer.byteLength(firstLine));
    const body = Buffer.concat([Buffer.from(firstLine), Buffer.alloc(paddingBytes, filler)]);
    return { body, hash: hashContent(body) };
}

export function hashContent(content: Uint8Array): string {
    return createHash("sha256").update(content).digest("hex");
}

/** Describes what is wrong with an answer to request `tag`; undefined if it is complete and belongs to it. */
export function checkAnswer(body: Buffer, hash: string | undefined, tag: string): string | undefined {
    if (hash !== hashContent(body)) {
        return "the body does not have the hash that its header names";
    }
    const first = JSON.parse(body.subarray(0, body.indexOf("\n")).toString()) as Partial<AnswerDescription>;
    return first.tag === tag ? undefined : `the answer belongs to request ${first.tag ?? "without a tag"}`;
}
