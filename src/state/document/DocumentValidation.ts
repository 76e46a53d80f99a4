/** Validates a whole document: schema, references between sections, and sizes. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { MAXIMUM_FINDINGS } from "./DocumentConstants.js";
import type { SourceDocument } from "./DocumentSchema.js";
import type { Finding, Problem } from "./Finding.js";
import { formatPath } from "./Finding.js";
import { listReferenceProblems } from "./ReferenceRules.js";
import { listSchemaProblems } from "./SchemaRules.js";
import { listSizeProblems } from "./SizeRules.js";

/** Lists all problems of a value. References and sizes are checked only if the value matches the schema. */
export function listProblems(value: unknown): readonly Problem[] {
    const schemaProblems = listSchemaProblems(value);
    if (schemaProblems.length > 0) {
        return schemaProblems;
    }
    const source = value as SourceDocument;
    return [...listReferenceProblems(source), ...listSizeProblems(source)];
}

/** Truncates a list of findings; the first omitted one is replaced by a count of those left out. */
export function limitFindings(findings: readonly Finding[], limit = MAXIMUM_FINDINGS): readonly Finding[] {
    const next = findings[limit];
    const message = `${findings.length - limit} more findings are not shown.`;
    return next === undefined ? findings : [...findings.slice(0, limit), { ...next, expected: "fewer", message }];
}

/** Validates a value without source text, for example a document from a form. */
export function validateDocument(value: unknown): Either<readonly Finding[], SourceDocument> {
    const findings = listProblems(value).map(({ expected, message, segments }) => ({
        expected,
        message,
        path: formatPath(segments),
        segments,
    }));
    return findings.length > 0 ? Left(limitFindings(findings)) : Right(value as SourceDocument);
}
