/** Pages of the history and of a single version. */
import type { Session } from "../access/index.js";
import type { EntryChange } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import type { AcceptedDocument, VersionRecord } from "../ports/index.js";
import { renderDifference } from "./DifferenceView.js";
import { formatTime } from "./Formats.js";
import { renderFormToken, renderPage } from "./Layout.js";

function renderVersionRecord({ author, message, time, version }: VersionRecord): Html {
    return renderHtml`<li><a href="/history/${version}">Version ${version}</a> <span>${message}</span>
<span class="none">${author}, ${formatTime(time)}</span></li>`;
}

/** Renders the list of the newest versions. */
export function renderHistoryPage(session: Session, records: readonly VersionRecord[], limit: number): string {
    const more = records.length === limit && renderHtml`<p class="help">The newest ${limit} versions are shown.</p>`;
    const list = records.length === 0
        ? renderHtml`<p>No document was accepted so far.</p>`
        : renderHtml`<ul class="entries">${records.map(renderVersionRecord)}</ul>`;
    return renderPage({ main: renderHtml`${list}${more}`, session, title: "History" });
}

export interface VersionPage {
    readonly session: Session;
    readonly accepted: AcceptedDocument;
    readonly changes: readonly EntryChange[];
    readonly currentVersion: number;
}

/** Renders a version and its changes. */
export function renderVersionPage({ accepted, changes, currentVersion, session }: VersionPage): string {
    const { author, message, time, version } = accepted;
    const restore = version === currentVersion
        ? renderHtml`<p>This version is current.</p>`
        : renderHtml`<form method="post" action="/history/${version}/restore">${renderFormToken(session)}
<div class="actions"><button class="quiet">Make this document current again…</button></div></form>`;
    const main = renderHtml`<p>${message}</p><p>Accepted at ${formatTime(time)} by ${author}.
<a href="/document.yaml?version=${version}" download>Export as YAML</a></p>
<h2>What it changed</h2>${renderDifference(changes)}${restore}
<p><a href="/history">All versions</a></p>`;
    return renderPage({ main, session, title: `Version ${version}` });
}
