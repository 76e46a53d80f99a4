/** Pages for the review of a draft: its changes, its findings, or a conflict with a newer version. */
import type { Finding } from "../../../state/document/index.js";
import type { Session } from "../access/index.js";
import type { Draft, EntryChange, SettingConflict } from "../edits/index.js";
import { describeEdit } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import type { Conflict } from "../publishing/index.js";
import { renderDifference } from "./DifferenceView.js";
import { renderDraftButton, renderDraftFields } from "./DraftFields.js";
import { renderMessageField } from "./EditPage.js";
import { formatTime } from "./Formats.js";
import { renderPage } from "./Layout.js";

/** True when a draft can be opened in an edit form. */
function isFormDraft(draft: Draft): boolean {
    return draft.edit.kind === "set";
}

function renderBackButton(session: Session, draft: Draft): Html {
    return isFormDraft(draft)
        ? renderDraftButton(session, draft, "/edit/again", "Back to the form")
        : renderHtml`<a href="/document">Cancel</a>`;
}

/** Renders the changes of a draft and the button that publishes it. */
export function renderReviewPage(session: Session, draft: Draft, changes: readonly EntryChange[]): string {
    const main = renderHtml`<p>On version ${draft.baseVersion}. Nothing was sent so far.</p>
${renderDifference(changes)}
<form method="post" action="/publish">${renderDraftFields(session, draft)}
${renderMessageField(draft.message)}
<div class="actions"><button>Publish as version ${draft.baseVersion + 1}</button></div></form>
<div class="actions">${renderBackButton(session, draft)}</div>`;
    return renderPage({ main, session, title: `Review: ${describeEdit(draft.edit).toLowerCase()}` });
}

/** Renders the findings of a draft that has no edit form, such as a removal. */
export function renderInvalidDraftPage(session: Session, draft: Draft, findings: readonly Finding[]): string {
    const items = findings.map(({ expected, message, path }) =>
        renderHtml`<li>${path === "" ? undefined : `${path}: `}${message} Expected ${expected}.</li>`
    );
    const main = renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus>
<h2>The document would not be valid: nothing was sent</h2><ul>${items}</ul></section>
<div class="actions">${renderBackButton(session, draft)}</div>`;
    return renderPage({ main, session, title: `Not possible: ${describeEdit(draft.edit).toLowerCase()}` });
}

function renderSettingConflicts(conflicts: readonly SettingConflict[], author: string): Html {
    if (conflicts.length === 0) {
        return renderHtml`<p>Both changes fit together: no setting was changed by both.</p>`;
    }
    const items = conflicts.map(({ mine, path, theirs }) =>
        renderHtml`<li><strong>${path}</strong>: ${author} set ${theirs ?? "nothing"}, you set ${
            mine ?? "nothing"
        }. Made again, your value replaces it.</li>`
    );
    return renderHtml`<section class="alert"><h3>Settings that both changed</h3><ul>${items}</ul></section>`;
}

/** Renders both operators' changes and the button that rebases the draft onto the newer version. */
export function renderConflictPage(session: Session, draft: Draft, conflict: Conflict): string {
    const { current, mine, rebased, theirs } = conflict;
    const again: Draft = { ...draft, baseVersion: current.version, edit: rebased.edit };
    const currentAuthor = current.author === session.operator ? `${current.author} (your own name)` : current.author;
    const main = renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus>
<h2>${currentAuthor} was first: your change was not made</h2>
<p>You worked on version ${draft.baseVersion}. Since then version ${current.version} was accepted, by ${currentAuthor} at ${
        formatTime(current.time)
    }: ${current.message}</p></section>
<h2>What changed since version ${draft.baseVersion}</h2>
${renderDifference(theirs)}
<h2>What you wanted to change</h2>
${renderDifference(mine)}
${renderSettingConflicts(rebased.conflicts, current.author)}
<div class="actions">
${renderDraftButton(session, again, "/review", `Make my change again on version ${current.version}`, "primary")}
${isFormDraft(again) ? renderDraftButton(session, again, "/edit/again", "Open it in the form") : undefined}
<a href="/document">Drop my change</a></div>`;
    return renderPage({ main, session, title: "Another operator was first" });
}
