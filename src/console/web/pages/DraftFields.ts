/** Carries a draft in hidden form fields, so that no input is lost although the console is stateless. */
import type { Session } from "../access/index.js";
import type { Draft } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import { renderFormToken } from "./Layout.js";

/** Renders the hidden fields of a draft, except its message. */
export function renderDraftFields(session: Session, draft: Draft): Html {
    return renderHtml`${renderFormToken(session)}
<input type="hidden" name="baseVersion" value="${draft.baseVersion}">
<input type="hidden" name="edit" value="${JSON.stringify(draft.edit)}">`;
}

/** Renders a form with a single button that submits the draft. */
export function renderDraftButton(
    session: Session,
    draft: Draft,
    action: string,
    label: string,
    style: "primary" | "quiet" = "quiet",
): Html {
    return renderHtml`<form method="post" action="${action}" class="inline">${renderDraftFields(session, draft)}
<input type="hidden" name="message" value="${draft.message}">
<button${style === "quiet" && renderHtml` class="quiet"`}>${label}</button></form>`;
}
