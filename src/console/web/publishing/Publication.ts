/** Publishes a draft by the same conditional update as the command line. */
import type { Draft } from "../edits/index.js";
import { describeEdit } from "../edits/index.js";
import type { ConfigurationPort } from "../ports/index.js";
import type { ReviewResult } from "./DraftReview.js";
import { reviewDraft } from "./DraftReview.js";

export type PublicationResult =
    | ReviewResult
    /** The store could not be read, so nothing was sent. */
    | { readonly kind: "unreadable"; readonly detail: string; }
    | { readonly kind: "refused"; readonly detail: string; }
    /** The update was sent, but it is not known yet whether it was accepted. */
    | { readonly kind: "unknown"; readonly detail: string; }
    /** The update was sent and has not taken effect; it is conditional, so sending it again is safe. */
    | { readonly kind: "absent"; };

/** Reviews a draft; a failed read of the store becomes the result `unreadable`. */
async function reviewForPublication(
    port: ConfigurationPort,
    draft: Draft,
    operator: string,
): Promise<PublicationResult> {
    const reviewed = await reviewDraft(port, draft, operator);
    return reviewed.caseOf<PublicationResult>({
        Left: failure => ({ detail: failure.detail, kind: "unreadable" }),
        Right: result => result,
    });
}

/** Determines whether a draft was accepted after the answer to its update was lost. */
export async function resolvePublication(
    port: ConfigurationPort,
    draft: Draft,
    operator: string,
): Promise<PublicationResult> {
    const result = await reviewForPublication(port, draft, operator);
    switch (result.kind) {
        case "unreadable":
            return { detail: result.detail, kind: "unknown" };
        case "ready":
            return { kind: "absent" };
        default:
            return result;
    }
}

/** Publishes a draft if it is valid and its base is still the current version. */
export async function publishDraft(
    port: ConfigurationPort,
    draft: Draft,
    operator: string,
): Promise<PublicationResult> {
    const reviewed = await reviewForPublication(port, draft, operator);
    if (reviewed.kind !== "ready") {
        return reviewed;
    }
    const proposed = await port.propose({
        author: operator,
        baseVersion: draft.baseVersion,
        document: reviewed.document,
        message: draft.message.trim() === "" ? describeEdit(draft.edit) : draft.message.trim(),
    });
    switch (proposed.kind) {
        case "conflict":
            return reviewForPublication(port, draft, operator);
        case "unknown": {
            const resolved = await resolvePublication(port, draft, operator);
            return resolved.kind === "unknown" ? { detail: proposed.detail, kind: "unknown" } : resolved;
        }
        default:
            return proposed;
    }
}
