/** Maps the findings of a document to the fields of a form. */
import type { Finding, PathSegment } from "../../../state/document/index.js";
import type { EditTarget } from "../edits/index.js";
import { listTargetSegments } from "../edits/index.js";
import type { Field, FieldGroup } from "./Field.js";
import { formatFieldName } from "./Field.js";

export interface FormFindings {
    /** Findings of fields, by the name of the input. */
    readonly byField: ReadonlyMap<string, readonly Finding[]>;
    /** Findings of groups as a whole, by the first key of the group. */
    readonly byGroup: ReadonlyMap<string, readonly Finding[]>;
    /** Findings of the edited entry as a whole, such as its name. */
    readonly aboutEntry: readonly Finding[];
    /** Findings of other parts of the document. */
    readonly elsewhere: readonly Finding[];
}

function isPrefix(prefix: readonly PathSegment[], segments: readonly PathSegment[]): boolean {
    return prefix.length <= segments.length && prefix.every((key, index) => key === segments[index]);
}

function appendFinding(map: Map<string, Finding[]>, key: string, finding: Finding): void {
    map.set(key, [...map.get(key) ?? [], finding]);
}

/** Maps each finding to the field or group at its path. */
export function mapFindingsToFields(
    findings: readonly Finding[],
    target: EditTarget,
    groups: readonly FieldGroup[],
): FormFindings {
    const entry = listTargetSegments(target);
    const fields: readonly Field[] = groups.flatMap(group => group.fields);
    const byField = new Map<string, Finding[]>();
    const byGroup = new Map<string, Finding[]>();
    const aboutEntry: Finding[] = [];
    const elsewhere: Finding[] = [];
    for (const finding of findings) {
        if (!isPrefix(entry, finding.segments)) {
            elsewhere.push(finding);
            continue;
        }
        const inner = finding.segments.slice(entry.length);
        const field = fields.find(candidate => isPrefix(candidate.segments, inner));
        const group = groups.find(candidate => candidate.segments.length > 0 && isPrefix(candidate.segments, inner));
        if (field !== undefined) {
            appendFinding(byField, formatFieldName(field), finding);
        }
        else if (group !== undefined) {
            appendFinding(byGroup, group.segments[0] ?? "", finding);
        }
        else {
            aboutEntry.push(finding);
        }
    }
    return { aboutEntry, byField, byGroup, elsewhere };
}
