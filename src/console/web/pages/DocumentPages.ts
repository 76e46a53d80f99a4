/** Overview page of the current document, and the import page. */
import type { Finding, SourceDocument } from "../../../state/document/index.js";
import { formatFinding } from "../../../state/document/index.js";
import type { Session } from "../access/index.js";
import type { EntrySection } from "../edits/index.js";
import { ENTRY_SECTIONS, SECTION_LABELS } from "../edits/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import type { AcceptedDocument } from "../ports/index.js";
import { formatTime } from "./Formats.js";
import { renderFormToken, renderPage } from "./Layout.js";

const IMPORT_TEXT_ROWS = 16;

/** Summarizes an entry, so that operators find it in the overview without opening it. */
function describeEntry(document: SourceDocument, section: EntrySection, name: string): string {
    if (section === "services") {
        const { servers = {}, slots } = document.services[name] ?? {};
        const planned = Object.values(servers).reduce((total, count) => total + count, 0);
        return `${planned} servers, ${slots} slots each`;
    }
    if (section === "routes") {
        const { match, repeatable, service } = document.routes[name] ?? {};
        const methods = match?.methods?.length ? match.methods.join(", ") : "any method";
        return `${methods} ${match?.host ?? ""}${match?.path} → ${service}${repeatable ? "" : ", at most once"}`;
    }
    if (section === "classes") {
        return `weight ${document.classes[name]?.weight ?? "by default"}`;
    }
    return document.resources?.[name]?.contentType ?? "";
}

function renderSection(document: SourceDocument, section: EntrySection): Html {
    const names = Object.keys(document[section] ?? {}).sort();
    const items = names.map(name =>
        renderHtml`<li><a href="/edit/${section}/${name}">${name}</a> <span class="none">${
            describeEntry(document, section, name)
        }</span></li>`
    );
    return renderHtml`<section><h2>${SECTION_LABELS[section].heading}</h2>
${items.length === 0 ? renderHtml`<p>None.</p>` : renderHtml`<ul class="entries">${items}</ul>`}
<p><a class="button" href="/edit/${section}">Add a ${SECTION_LABELS[section].singular}</a></p></section>`;
}

/** Renders the overview of the current document. */
export function renderDocumentPage(session: Session, current: AcceptedDocument): string {
    const { author, document, time, version } = current;
    const { name, weighing } = document.mesh;
    const main = renderHtml`<p>Version ${version}, accepted at ${formatTime(time)} by ${author}.
<a href="/document.yaml" download>Export as YAML</a></p>
<section><h2>Mesh</h2><p><a href="/edit/mesh">${name}</a> <span class="none">weighs ${
        weighing ?? "by default"
    }</span></p></section>
${ENTRY_SECTIONS.map(section => renderSection(document, section))}`;
    return renderPage({ main, session, title: "Document" });
}

export interface ImportPage {
    readonly session: Session;
    readonly baseVersion: number;
    readonly text: string;
    readonly findings: readonly Finding[];
}

/** Renders the page that imports a document from text or a file. */
export function renderImportPage({ baseVersion, findings, session, text }: ImportPage): string {
    const alert = findings.length === 0
        ? undefined
        : renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus id="findings">
<h2>The document is not valid: nothing was sent</h2>
<ul>${findings.map(finding => renderHtml`<li>${formatFinding(finding)}</li>`)}</ul></section>`;
    const main =
        renderHtml`${alert}<p>The document replaces the whole of version ${baseVersion}; what changes is shown before it is sent.</p>
<form method="post" action="/import">${renderFormToken(session)}
<input type="hidden" name="baseVersion" value="${baseVersion}">
<div class="field" data-needs-script hidden><label class="label" for="file">File</label>
<input type="file" id="file" accept=".yaml,.yml,.json" data-reads-into="text"></div>
<div class="field"><label class="label" for="text">Document (YAML or JSON)</label>
<textarea id="text" name="text" rows="${IMPORT_TEXT_ROWS}" spellcheck="false"${
            findings.length > 0 && renderHtml` aria-invalid="true" aria-describedby="findings"`
        }>
${text}</textarea></div>
<div class="actions"><button>Review the change</button></div></form>`;
    return renderPage({ main, session, title: "Import a document" });
}
