/** Pages for the outcomes of a publication and for failures of the store. */
import type { Session } from "../access/index.js";
import type { Draft } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import { renderDraftButton } from "./DraftFields.js";
import { renderPage } from "./Layout.js";

function renderAlertPage(session: Session, title: string, text: readonly Html[], actions: Html): string {
    const main = renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus>${
        text.map(paragraph => renderHtml`<p>${paragraph}</p>`)
    }</section><div class="actions">${actions}</div>`;
    return renderPage({ main, session, title });
}

export function renderUnchangedPage(session: Session, version: number): string {
    const main = renderHtml`<p>The document is already as you want it: version ${version} stays current.</p>
<p><a href="/document">Back to the document</a></p>`;
    return renderPage({ main, session, title: "Nothing to change" });
}

export function renderRefusedPage(session: Session, draft: Draft, detail: string): string {
    return renderAlertPage(
        session,
        "The store refused the change",
        [renderHtml`${detail}`, renderHtml`Nothing was changed. Your change is kept on this page.`],
        renderDraftButton(session, draft, "/publish", "Try again", "primary"),
    );
}

/** Renders the page for a draft that was not sent because the store could not be read. */
export function renderUnreadablePage(session: Session, draft: Draft, detail: string, action: string): string {
    return renderAlertPage(
        session,
        "The store can't be reached",
        [
            renderHtml`${detail}`,
            renderHtml`Nothing was sent, so nothing was changed. What is in force in the mesh stays in force.
Your change is kept on this page.`,
        ],
        renderDraftButton(session, draft, action, "Try again", "primary"),
    );
}

/** Renders the page for a lost answer; the script submits its form repeatedly until the outcome is known. */
export function renderUnknownPage(session: Session, draft: Draft, detail: string): string {
    return renderAlertPage(
        session,
        "Not known yet whether the change was accepted",
        [
            renderHtml`${detail}`,
            renderHtml`The change was sent and the answer was lost. It was accepted either completely, as version ${
                draft.baseVersion + 1
            }, or not at all. Your change is kept on this page; don't enter it again elsewhere.`,
        ],
        renderHtml`<div data-repeat>${
            renderDraftButton(session, draft, "/publish/outcome", "Find out now", "primary")
        }</div>`,
    );
}

/** Renders the page for an update that was sent and did not take effect. */
export function renderAbsentPage(session: Session, draft: Draft): string {
    return renderAlertPage(
        session,
        "The change has not been accepted",
        [
            renderHtml`The store answers again, and version ${draft.baseVersion} is still current. Sending the change
again is safe: it depends on version ${draft.baseVersion}, so it can be accepted only once.`,
        ],
        renderDraftButton(session, draft, "/publish", "Send it again", "primary"),
    );
}

/** Renders the page for a failed read of the store when there is no draft. */
export function renderStoreDownPage(session: Session, detail: string): string {
    return renderAlertPage(
        session,
        "The store can't be read",
        [
            renderHtml`${detail}`,
            renderHtml`What is in force in the mesh stays in force. No version can be accepted now.`,
        ],
        renderHtml`<a href="">Try again</a>`,
    );
}

/** Renders the page for a request that failed or can't be served. */
export function renderErrorPage(session: Session | undefined, title: string, text: string): string {
    return renderPage({ main: renderHtml`<p>${text}</p><p><a href="/">To the start</a></p>`, session, title });
}
