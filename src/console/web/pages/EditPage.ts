/** Edit form of an entry or of the mesh, with each finding beside its field. */
import type { Finding } from "../../../state/document/index.js";
import type { Session } from "../access/index.js";
import type { EditTarget } from "../edits/index.js";
import { describeTarget, SECTION_LABELS } from "../edits/index.js";
import type { FieldGroup, FormFindings } from "../forms/index.js";
import { formatFieldName, formatInputId, renderFieldGroup, renderFindings } from "../forms/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import { renderFormToken, renderPage } from "./Layout.js";

export interface EditPage {
    readonly session: Session;
    readonly baseVersion: number;
    readonly target: EditTarget;
    readonly isNew: boolean;
    /** Settings of the target, not validated yet. */
    readonly piece: unknown;
    readonly message: string;
    readonly groups: readonly FieldGroup[];
    readonly formFindings: FormFindings;
}

export const NO_FINDINGS: FormFindings = {
    aboutEntry: [],
    byField: new Map(),
    byGroup: new Map(),
    elsewhere: [],
};

function listLinkedFindings({ groups, formFindings }: EditPage): readonly (readonly [string, Finding])[] {
    const fields = groups.flatMap(group => group.fields).flatMap(field => {
        const name = formatFieldName(field);
        return (formFindings.byField.get(name) ?? []).map(finding => [formatInputId(name), finding] as const);
    });
    const inGroups = [...formFindings.byGroup].flatMap(([key, findings]) =>
        findings.map(finding => [`group-${key}`, finding] as const)
    );
    return [...formFindings.aboutEntry.map(finding => ["name", finding] as const), ...fields, ...inGroups];
}

/** Renders all findings with links to their fields; the list receives the focus. */
function renderFindingSummary(page: EditPage): Html | undefined {
    const linked = listLinkedFindings(page);
    const { elsewhere } = page.formFindings;
    const count = linked.length + elsewhere.length;
    if (count === 0) {
        return undefined;
    }
    const links = linked.map(([id, finding]) =>
        renderHtml`<li><a href="#${id}">${finding.path}</a>: ${finding.message}</li>`
    );
    const others = elsewhere.map(finding =>
        renderHtml`<li>${finding.path}: ${finding.message} Expected ${finding.expected}.</li>`
    );
    return renderHtml`<section class="alert" role="alert" tabindex="-1" data-focus>
<h2>${count === 1 ? "One finding" : `${count} findings`}: nothing was sent</h2><ul>${links}${others}</ul></section>`;
}

function renderNameField(page: EditPage): Html | undefined {
    const { isNew, formFindings, target } = page;
    if (target.section === "mesh") {
        return undefined;
    }
    const findings = renderFindings(formFindings.aboutEntry, "name-findings");
    if (!isNew) {
        return renderHtml`<input type="hidden" name="name" value="${target.name}">${findings}`;
    }
    return renderHtml`<div class="field${findings !== undefined && " faulty"}">
<label class="label" for="name">Name <span class="required">(required)</span></label>
<input type="text" id="name" name="name" value="${target.name}" autocomplete="off" spellcheck="false" autocapitalize="none" aria-describedby="name-findings name-help"${
        findings !== undefined && renderHtml` aria-invalid="true"`
    }>${findings}
<p class="help" id="name-help">Lower-case letters, digits and hyphens. The name can't be changed later.</p></div>`;
}

/** Renders the field for the message that is shown in the history. */
export function renderMessageField(message: string): Html {
    return renderHtml`<div class="field"><label class="label" for="message">Reason</label>
<input type="text" id="message" name="message" value="${message}" maxlength="500" aria-describedby="message-help">
<p class="help" id="message-help">Shown in the history. Left empty, it says what was changed.</p></div>`;
}

function formatTitle({ isNew, target }: EditPage): string {
    if (target.section === "mesh") {
        return "Change the settings of the mesh";
    }
    return isNew ? `Add a ${SECTION_LABELS[target.section].singular}` : `Change ${describeTarget(target)}`;
}

/** Renders the edit page. */
export function renderEditPage(page: EditPage): string {
    const { baseVersion, groups, isNew, message, piece, formFindings, session, target } = page;
    const remove = isNew || target.section === "mesh" ? undefined : renderHtml`
<button name="action" value="remove" class="danger">Remove this ${SECTION_LABELS[target.section].singular}…</button>`;
    const main = renderHtml`${renderFindingSummary(page)}
<p>Based on version ${baseVersion}. Empty fields take their default.</p>
<form method="post" action="/review/form" novalidate>
${renderFormToken(session)}
<input type="hidden" name="baseVersion" value="${baseVersion}">
<input type="hidden" name="section" value="${target.section}">
<input type="hidden" name="isNew" value="${String(isNew)}">
${renderNameField(page)}
${groups.map(group => renderFieldGroup(group, piece, formFindings))}
${renderMessageField(message)}
<div class="actions"><button name="action" value="review">Review the change</button> <a href="/document">Cancel</a>${remove}</div>
</form>`;
    return renderPage({ main, session, title: formatTitle(page) });
}
