/** Decides to which request an answer on a connection to a server belongs. Headers are lists of names and values that alternate. */
import type { Dialect, ServerAnswerHeaders } from "../dialect/index.js";
import { isValidHeaderList } from "../request/index.js";

export const AnswerMatch = {
    /** It answers the request that waits on the connection. */
    Own: "own",
    /** It answers another request, and is dropped. */
    Other: "other",
    /** It can't be told what it answers. */
    Malformed: "malformed",
} as const;
export type AnswerMatch = (typeof AnswerMatch)[keyof typeof AnswerMatch];

export type MatchedAnswer =
    | { readonly kind: Exclude<AnswerMatch, typeof AnswerMatch.Malformed>; readonly statement: ServerAnswerHeaders; }
    | { readonly kind: typeof AnswerMatch.Malformed; readonly detail: string; };

export interface AnswerHeadLines {
    readonly status: number;
    readonly headers: readonly string[];
}

/** The request that waits for an answer on a connection. */
export interface WaitingRequest {
    readonly requestId: string;
    /** Whether the connection has carried no other request before. */
    readonly isFirst: boolean;
    /** Whether an earlier answer on the connection has named its request. */
    readonly areAnswersNamed: boolean;
}

const FIRST_FAILURE_STATUS = 300;

/** Decides by its head whether an answer is that of the request that waits; errors are returned as malformed answers. */
export function matchAnswer(
    { headers, status }: AnswerHeadLines,
    waiting: WaitingRequest,
    dialect: Dialect,
): MatchedAnswer {
    if (!isValidHeaderList(headers)) {
        return { detail: "the head of the answer has a malformed header", kind: AnswerMatch.Malformed };
    }
    const map = new Map<string, string>();
    const repeated = copyHeaders(headers, map, name => dialect.isSingleAnswerHeader(name));
    if (repeated !== undefined) {
        return { detail: `the head of the answer has ${repeated} twice`, kind: AnswerMatch.Malformed };
    }
    const statement = dialect.parseServerHeaders(status, map);
    if (statement.requestId === undefined) {
        return matchUnnamed(status, statement, waiting);
    }
    const isOwn = statement.requestId === waiting.requestId;
    return { kind: isOwn ? AnswerMatch.Own : AnswerMatch.Other, statement };
}

/** Servers name the request in their answers, but a failure may come from what stands before them. */
function matchUnnamed(
    status: number,
    statement: ServerAnswerHeaders,
    { areAnswersNamed, isFirst }: WaitingRequest,
): MatchedAnswer {
    const isSuccess = status < FIRST_FAILURE_STATUS;
    if (isFirst && !isSuccess) {
        return { kind: AnswerMatch.Own, statement };
    }
    if (areAnswersNamed && isSuccess) {
        // A second answer to an earlier request, so that the own one is still to come.
        return { kind: AnswerMatch.Other, statement };
    }
    return { detail: `an answer with status ${status} names no request`, kind: AnswerMatch.Malformed };
}

/** Returns the request that an answer names; undefined when it names none. */
export function findAnsweredRequest({ headers, status }: AnswerHeadLines, dialect: Dialect): string | undefined {
    const map = new Map<string, string>();
    copyHeaders(headers, map, () => false);
    return dialect.parseServerHeaders(status, map).requestId;
}

/** Copies headers into a map, by lower-case names; returns the first of those that occur once which is there again. */
function copyHeaders(
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
