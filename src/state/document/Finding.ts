/** Findings about a document: collected with their location and reported together. */

/** One step of a path: a key of a mapping or an index of a list. */
export type PathSegment = string | number;

/** A fault at a path of the document, before it is located in the text. */
export interface Problem {
    readonly segments: readonly PathSegment[];
    /** Whether the fault concerns the key or its value. */
    readonly at: "key" | "value";
    readonly message: string;
    readonly expected: string;
}

/** A fault that an operator has to correct. */
export interface Finding {
    /** Formatted path, for example `routes.pay-deposit.match.methods[0]`; empty for the whole document. */
    readonly path: string;
    readonly segments: readonly PathSegment[];
    readonly file?: string;
    /** Line and column, both from 1, where the text is known. */
    readonly line?: number;
    readonly column?: number;
    readonly message: string;
    /** Description of what is accepted. */
    readonly expected: string;
}

/** Formats a path, for example `routes.pay-deposit.match.methods[0]`. */
export function formatPath(segments: readonly PathSegment[]): string {
    return segments.reduce<string>((path, segment) => {
        if (typeof segment === "number") {
            return `${path}[${segment}]`;
        }
        return path === "" ? segment : `${path}.${segment}`;
    }, "");
}

/** Formats a finding as one line: position, path, message and what was expected. */
export function formatFinding(finding: Finding): string {
    const place = [finding.file, finding.line, finding.column].filter(part => part !== undefined).join(":");
    const path = finding.path === "" ? "" : `${finding.path}: `;
    return `${place === "" ? "" : `${place}: `}${path}${finding.message} Expected ${finding.expected}.`;
}
