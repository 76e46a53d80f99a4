/** Parses document text, YAML or its subset JSON, and locates each finding in the text. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { Document, Node, YAMLError } from "yaml";
import {
    isAlias,
    isCollection,
    isMap,
    isNode,
    isPair,
    isScalar,
    isSeq,
    LineCounter,
    parseAllDocuments,
    visit,
} from "yaml";
import { MAXIMUM_DEPTH, MAXIMUM_DOCUMENT_BYTES, MAXIMUM_SYNTAX_FINDINGS } from "./DocumentConstants.js";
import type { SourceDocument } from "./DocumentSchema.js";
import { limitFindings, listProblems } from "./DocumentValidation.js";
import type { Finding, PathSegment, Problem } from "./Finding.js";
import { formatPath } from "./Finding.js";
import { createTooLargeProblem } from "./SizeRules.js";

export interface ParseOptions {
    /** File name stated in findings. */
    readonly file?: string;
}

/** A parsed text with the data that locates findings in it. */
interface ParsedText {
    readonly document: Document.Parsed;
    readonly lines: LineCounter;
    readonly file: string | undefined;
}

const TOO_DEEP_MESSAGE = "The document is nested too deep.";
const EXPECTED_DEPTH = `at most ${MAXIMUM_DEPTH} levels`;

/** Finds the offset of the key or value at a path, or of its nearest ancestor in the text. */
function findOffset(document: Document.Parsed, problem: Problem): number {
    let node: unknown = document.contents;
    let offset = isNode(node) ? node.range?.[0] ?? 0 : 0;
    for (const [index, segment] of problem.segments.entries()) {
        const pair = isMap(node)
            ? node.items.find(item => isScalar(item.key) && String(item.key.value) === segment)
            : undefined;
        const isLast = index === problem.segments.length - 1;
        node = pair?.value ?? (isSeq(node) ? node.items[Number(segment)] : undefined);
        // A missing key is reported at the key of the mapping that lacks it.
        const place = isLast && problem.at === "value" ? node ?? pair?.key : pair?.key ?? node;
        if (!isNode(place)) {
            return offset;
        }
        offset = place.range?.[0] ?? offset;
    }
    return offset;
}

function createFinding(problem: Omit<Problem, "at">, offset: number, parsed: ParsedText): Finding {
    const { line, col } = parsed.lines.linePos(offset);
    return {
        ...(parsed.file === undefined ? {} : { file: parsed.file }),
        column: Math.max(col, 1),
        expected: problem.expected,
        line: Math.max(line, 1),
        message: problem.message,
        path: formatPath(problem.segments),
        segments: problem.segments,
    };
}

function describeSyntaxError(error: YAMLError, document: Document.Parsed): Omit<Problem, "at"> {
    if (error.code === "DUPLICATE_KEY") {
        const segments = findSegments(document, error.pos[0]);
        return { expected: "each key once", message: `The key "${segments.at(-1)}" is written twice.`, segments };
    }
    if (error.code === "RESOURCE_EXHAUSTION") {
        return { expected: EXPECTED_DEPTH, message: TOO_DEEP_MESSAGE, segments: [] };
    }
    const [message = error.message] = error.message.split(/ at line/);
    return { expected: "complete YAML or JSON", message: `Syntax error: ${message}.`, segments: [] };
}

/** Finds the path of the key at an offset of the text; empty when no key begins there. */
function findSegments(document: Document.Parsed, offset: number): readonly PathSegment[] {
    let segments: readonly PathSegment[] = [];
    visit(document, {
        Pair: (_key, pair, ancestors) => {
            if (!isScalar(pair.key) || pair.key.range?.[0] !== offset) {
                return undefined;
            }
            const keys = [...ancestors, pair].flatMap(ancestor => isPair(ancestor) ? [ancestor.key] : []);
            segments = keys.map(key => isScalar(key) ? String(key.value) : String(key));
            return visit.BREAK;
        },
    });
    return segments;
}

/** Describes a YAML construct that documents do not allow; undefined for an allowed node. */
function describeStructureFault(
    node: Node,
    ancestors: readonly unknown[],
): Pick<Problem, "expected" | "message"> | undefined {
    if (isAlias(node)) {
        return { expected: "the value itself", message: "Aliases are not supported." };
    }
    if (isMap(node) && node.items.some(item => !isScalar(item.key))) {
        return { expected: "text as a key", message: "A key is a list or a mapping." };
    }
    if (ancestors.filter(isCollection).length >= MAXIMUM_DEPTH) {
        return { expected: EXPECTED_DEPTH, message: TOO_DEEP_MESSAGE };
    }
    return undefined;
}

function listStructureFindings(parsed: ParsedText): readonly Finding[] {
    const findings: Finding[] = [];
    visit(parsed.document, {
        Node: (_key, node, ancestors) => {
            const fault = describeStructureFault(node, ancestors);
            if (fault === undefined) {
                return undefined;
            }
            findings.push(createFinding({ ...fault, segments: [] }, node.range?.[0] ?? 0, parsed));
            return visit.SKIP;
        },
    });
    return findings;
}

/** Lists syntax errors. */
function listSyntaxFindings(parsed: ParsedText): readonly Finding[] {
    const { errors } = parsed.document;
    // The parser reports each level beyond its own limit; only the first is kept.
    const firstTooDeep = errors.find(error => error.code === "RESOURCE_EXHAUSTION");
    const findings = errors
        .filter(error => firstTooDeep === undefined || error === firstTooDeep)
        .map(error => createFinding(describeSyntaxError(error, parsed.document), error.pos[0], parsed));
    return hasOnlyDuplicateKeyErrors(parsed.document) ? findings : limitFindings(findings, MAXIMUM_SYNTAX_FINDINGS);
}

function createDocumentFinding(problem: Omit<Problem, "at" | "segments">, file: string | undefined): Finding {
    return {
        ...(file === undefined ? {} : { file }),
        column: 1,
        expected: problem.expected,
        line: 1,
        message: problem.message,
        path: "",
        segments: [],
    };
}

/** Validates the parsed value and locates its findings in the text. */
function listValueFindings(parsed: ParsedText, value: unknown): readonly Finding[] {
    return listProblems(value).map(problem => createFinding(problem, findOffset(parsed.document, problem), parsed));
}

/** Returns whether the text has no syntax errors other than duplicate keys, so that its value can be validated. */
function hasOnlyDuplicateKeyErrors(document: Document.Parsed): boolean {
    return document.errors.every(error => error.code === "DUPLICATE_KEY");
}

/** Parses text that is exactly one non-empty document; it may still have syntax errors. */
function parseText(text: string, file: string | undefined): Either<Finding, ParsedText> {
    const bytes = Buffer.byteLength(text);
    if (bytes > MAXIMUM_DOCUMENT_BYTES) {
        return Left(createDocumentFinding(createTooLargeProblem(bytes), file));
    }
    const lines = new LineCounter();
    const documents = parseAllDocuments(text, { lineCounter: lines, prettyErrors: false });
    const document = "empty" in documents ? undefined : documents[0];
    if (document === undefined || document.contents === null && documents.length === 1) {
        const problem = { expected: "a document with the key mesh", message: "The document is empty." };
        return Left(createDocumentFinding(problem, file));
    }
    if (documents.length > 1) {
        const problem = { expected: "one document", message: "The text has several documents." };
        return Left(createDocumentFinding(problem, file));
    }
    return Right({ document, file, lines });
}

/**
 * Parses and validates document text. All findings are reported together, each with its line and
 * column. After a construct that documents do not allow, or a syntax error other than a duplicate key,
 * the value is not validated.
 */
export function parseDocument(
    text: string,
    { file }: ParseOptions = {},
): Either<readonly Finding[], SourceDocument> {
    return parseText(text, file).mapLeft(finding => [finding] as readonly Finding[]).chain(parsed => {
        const structure = listStructureFindings(parsed);
        const findings = [...listSyntaxFindings(parsed), ...structure];
        if (!hasOnlyDuplicateKeyErrors(parsed.document) || structure.length > 0) {
            return Left(limitFindings(findings));
        }
        const value: unknown = parsed.document.toJS();
        findings.push(...listValueFindings(parsed, value));
        return findings.length > 0 ? Left(limitFindings(findings)) : Right(value as SourceDocument);
    });
}
