/** Reviews a draft: it has findings, is ready, changes nothing, was accepted already, or conflicts with a newer version. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { Finding, SourceDocument } from "../../../state/document/index.js";
import { formatPath, splitDocument, validateDocument } from "../../../state/document/index.js";
import { computeRootHash, mapResourcesByName } from "../../../state/versions/index.js";
import type { Draft, EntryChange, RebasedEdit } from "../edits/index.js";
import { applyEdit, computeDifference, getTargetSettings, listTargetSegments, rebaseEdit } from "../edits/index.js";
import type { AcceptedDocument, ConfigurationPort, ReadFailure } from "../ports/index.js";

/** A draft and the changes by other versions since its base. */
export interface Conflict {
    readonly current: AcceptedDocument;
    /** Changes from the draft's base to the current version. */
    readonly theirs: readonly EntryChange[];
    /** Changes of the draft to its base. */
    readonly mine: readonly EntryChange[];
    /** The draft's edit, rebased onto the current version. */
    readonly rebased: RebasedEdit;
}

export type ReviewResult =
    | {
        readonly kind: "faulty";
        readonly current: AcceptedDocument | undefined;
        readonly findings: readonly Finding[];
    }
    | { readonly kind: "ready"; readonly document: SourceDocument; readonly changes: readonly EntryChange[]; }
    | { readonly kind: "unchanged"; readonly version: number; }
    /** The draft was accepted by an earlier update whose answer was lost. */
    | { readonly kind: "accepted"; readonly version: number; }
    | { readonly kind: "conflict"; readonly conflict: Conflict; };

/** Reads the document that a draft is based on; undefined for an empty store. */
async function readBaseDocument(
    port: ConfigurationPort,
    version: number,
): Promise<Either<ReadFailure, SourceDocument | undefined>> {
    if (version === 0) {
        return Right(undefined);
    }
    const read = await port.readVersion(version);
    return read.chain(found =>
        found === undefined ? Left({ detail: `The store has no version ${version}.` }) : Right(found.document)
    );
}

/** True when the version directly after the base has the draft's document and author. */
async function isAlreadyAccepted(
    port: ConfigurationPort,
    draft: Draft,
    base: SourceDocument | undefined,
    operator: string,
): Promise<Either<ReadFailure, boolean>> {
    const drafted = validateDocument(applyEdit(base, draft.edit));
    if (drafted.isLeft()) {
        return Right(false);
    }
    const root = computeRootHash(mapResourcesByName(splitDocument(drafted.unsafeCoerce())));
    const next = await port.readVersion(draft.baseVersion + 1);
    return next.map(found => found !== undefined && found.root === root && found.author === operator);
}

/** Reviews a draft whose base is no longer the current version. */
async function reviewOutdatedDraft(
    port: ConfigurationPort,
    draft: Draft,
    current: AcceptedDocument,
    operator: string,
): Promise<Either<ReadFailure, ReviewResult>> {
    const read = await readBaseDocument(port, draft.baseVersion);
    if (read.isLeft()) {
        return read.map(() => ({ kind: "unchanged", version: draft.baseVersion }));
    }
    const base = read.unsafeCoerce();
    const accepted = await isAlreadyAccepted(port, draft, base, operator);
    return accepted.map(isAccepted =>
        isAccepted
            ? { kind: "accepted", version: draft.baseVersion + 1 }
            : {
                conflict: {
                    current,
                    mine: computeDifference(base, applyEdit(base, draft.edit)),
                    rebased: rebaseEdit(draft.edit, base, current.document),
                    theirs: computeDifference(base, current.document),
                },
                kind: "conflict",
            }
    );
}

/** Reports a new entry whose name is in use, because it would replace the existing entry. */
function listNameFindings({ edit }: Draft, document: SourceDocument | undefined): readonly Finding[] {
    if (edit.kind !== "set" || !edit.isNew || getTargetSettings(document, edit.target) === undefined) {
        return [];
    }
    const segments = listTargetSegments(edit.target);
    const [section, name] = segments;
    return [{
        expected: "a name that is not in use",
        message: `The name "${name}" is already in use in ${section}.`,
        path: formatPath(segments),
        segments,
    }];
}

/** Reviews a draft that is based on the current version. */
function reviewCurrentDraft(draft: Draft, current: AcceptedDocument | undefined): ReviewResult {
    const nameFindings = listNameFindings(draft, current?.document);
    if (nameFindings.length > 0) {
        return { current, findings: nameFindings, kind: "faulty" };
    }
    const edited = applyEdit(current?.document, draft.edit);
    return validateDocument(edited).caseOf<ReviewResult>({
        Left: findings => ({ current, findings, kind: "faulty" }),
        Right: document => {
            const changes = computeDifference(current?.document, document);
            return changes.length === 0
                ? { kind: "unchanged", version: draft.baseVersion }
                : { changes, document, kind: "ready" };
        },
    });
}

/** Reviews a draft against the current version in the store. */
export async function reviewDraft(
    port: ConfigurationPort,
    draft: Draft,
    operator: string,
): Promise<Either<ReadFailure, ReviewResult>> {
    const read = await port.readCurrent();
    if (read.isLeft()) {
        return read.map(() => ({ kind: "unchanged", version: draft.baseVersion }));
    }
    const current = read.unsafeCoerce();
    return current === undefined || current.version === draft.baseVersion
        ? Right(reviewCurrentDraft(draft, current))
        : reviewOutdatedDraft(port, draft, current, operator);
}
