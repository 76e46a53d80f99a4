/** Size limits: each resource must fit into one part in the store, and the document into a daemon's memory. */
import { MAXIMUM_DOCUMENT_BYTES, MAXIMUM_RESOURCE_BYTES } from "./DocumentConstants.js";
import { findSection, SECTION_PREFIXES, splitDocument } from "./DocumentResources.js";
import type { SourceDocument } from "./DocumentSchema.js";
import type { PathSegment, Problem } from "./Finding.js";

function parseResourceName(name: string): readonly PathSegment[] {
    const section = findSection(name);
    return section === undefined ? [name] : [section, name.slice(SECTION_PREFIXES[section].length)];
}

/** Lists resources above the size limit, and the document if their total size is above its limit. */
export function* listSizeProblems(source: SourceDocument): Generator<Problem> {
    let total = 0;
    for (const { name, content } of splitDocument(source)) {
        const bytes = Buffer.byteLength(content);
        total += bytes;
        if (bytes > MAXIMUM_RESOURCE_BYTES) {
            yield {
                at: "key",
                expected: `at most ${MAXIMUM_RESOURCE_BYTES} bytes, so that it fits into one value of the store`,
                message: `The entry has ${bytes} bytes.`,
                segments: parseResourceName(name),
            };
        }
    }
    if (total > MAXIMUM_DOCUMENT_BYTES) {
        yield createTooLargeProblem(total);
    }
}

/** Describes a document above the size limit. */
export function createTooLargeProblem(bytes: number): Problem {
    return {
        at: "value",
        expected: `at most ${MAXIMUM_DOCUMENT_BYTES} bytes`,
        message: `The document has ${bytes} bytes.`,
        segments: [],
    };
}
