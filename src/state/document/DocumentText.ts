/** Parses document text, YAML or JSON (which is YAML as well), and finds the place of each fault. */
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

/** Names the text in findings. */
export interface ParseOptions {
    readonly file?: string;
}

/** A parsed text and what is needed to find places in it. */
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
        // A missing key is reported at the entry that lacks it, which is better known by its key.
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

/** Describes what the YAML data model allows and a document does not; undefined for a node without fault. */
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

/** Lists the faults of the syntax. */
function listSyntaxFindings(parsed: ParsedText): readonly Finding[] {
    const { errors } = parsed.document;
    // The parser reports each level beyond its own limit; one finding says it.
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

/** Lists the faults of the described value at their places in the text. */
function listValueFindings(parsed: ParsedText, value: unknown): readonly Finding[] {
    return listProblems(value).map(problem => createFinding(problem, findOffset(parsed.document, problem), parsed));
}

/** True when every fault of the text is a duplicate key, so that the value can be checked as well. */
function hasOnlyDuplicateKeyErrors(document: Document.Parsed): boolean {
    return document.errors.every(error => error.code === "DUPLICATE_KEY");
}

/** Parses text that is one document and not empty; the syntax may still have errors. */
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
 * column; with a syntax error only the faults of the text are known.
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
