/** Renders fields with label, help and findings tied to the input for screen readers. */
import type { Finding } from "../../../state/document/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import type { Field, FieldGroup } from "./Field.js";
import { formatFieldName } from "./Field.js";
import { formatFieldValue, listSelectedNames } from "./FieldValues.js";
import type { FormFindings } from "./FormFindings.js";

const PARAGRAPH_ROWS = 8;
const REGION_ROWS = 4;

/** Attributes that tie an input to its help and findings. */
interface InputAttributes {
    readonly id: string;
    readonly describedBy: string;
    readonly isInvalid: boolean;
}

/** Formats the id of an input; ids hold no dots, because style sheets and scripts select by them. */
export function formatInputId(name: string): string {
    return name.replaceAll(/[^A-Za-z0-9]/g, "-");
}

/** Renders findings as a list beside their field. */
export function renderFindings(findings: readonly Finding[], id: string): Html | undefined {
    if (findings.length === 0) {
        return undefined;
    }
    const items = findings.map(finding => renderHtml`<li>${finding.message} Expected ${finding.expected}.</li>`);
    return renderHtml`<ul class="findings" id="${id}">${items}</ul>`;
}

function renderInputAttributes({ describedBy, id, isInvalid: isFaulty }: InputAttributes): Html {
    const invalid = isFaulty ? renderHtml` aria-invalid="true"` : undefined;
    return renderHtml`id="${id}" aria-describedby="${describedBy}"${invalid}`;
}

function renderOption(value: string, label: string, selected: string): Html {
    return renderHtml`<option value="${value}"${value === selected && renderHtml` selected`}>${label}</option>`;
}

/** Renders a selection. A value that is no longer defined stays visible, so that nothing typed is lost. */
function renderSelect(
    field: Field,
    choices: readonly (readonly [string, string])[],
    value: string,
    ties: InputAttributes,
) {
    const empty = field.isRequired ? "Choose…" : `Default (${field.defaultText ?? "none"})`;
    const isUnknown = value !== "" && choices.every(([choice]) => choice !== value);
    const options = [
        renderOption("", empty, value),
        isUnknown && renderOption(value, `${value} (not defined)`, value),
        choices.map(([choice, label]) => renderOption(choice, label, value)),
    ];
    return renderHtml`<select name="${formatFieldName(field)}" ${renderInputAttributes(ties)}>${options}</select>`;
}

function renderChoices(field: Field, choices: readonly string[], piece: unknown, ties: InputAttributes): Html {
    const selected = listSelectedNames(field, piece);
    const all = [...new Set([...choices, ...selected])];
    const boxes = all.map(choice =>
        renderHtml`<label class="box"><input type="checkbox" name="${formatFieldName(field)}" value="${choice}"${
            selected.includes(choice) && renderHtml` checked`
        }> ${choice}</label>`
    );
    return renderHtml`<div role="group" ${
        renderInputAttributes(ties)
    } aria-labelledby="${ties.id}-label" tabindex="-1">${
        all.length === 0 ? "The document defines none." : boxes
    }</div>`;
}

function renderTextArea(field: Field, rows: number, value: string, ties: InputAttributes): Html {
    // A line break directly after the tag is dropped by browsers, so that one of the value is kept.
    return renderHtml`<textarea name="${formatFieldName(field)}" rows="${rows}" ${renderInputAttributes(ties)}>
${value}</textarea>`;
}

function renderControl(field: Field, piece: unknown, ties: InputAttributes): Html {
    const value = formatFieldValue(field, piece);
    const { control } = field;
    switch (control.kind) {
        case "choice":
            return renderSelect(field, control.choices.map(choice => [choice, choice]), value, ties);
        case "boolean":
            return renderSelect(field, [["true", "yes"], ["false", "no"]], value, ties);
        case "choices":
            return renderChoices(field, control.choices, piece, ties);
        case "paragraph":
            return renderTextArea(field, PARAGRAPH_ROWS, value, ties);
        case "regions":
            return renderTextArea(field, REGION_ROWS, value, ties);
        default: {
            const mode = control.kind === "integer" ? "numeric" : "text";
            return renderHtml`<input type="text" inputmode="${mode}" name="${
                formatFieldName(field)
            }" value="${value}" placeholder="${
                field.defaultText ?? ""
            }" autocomplete="off" spellcheck="false" autocapitalize="none" ${renderInputAttributes(ties)}>`;
        }
    }
}

/** A group of check boxes is labelled by reference, because a label can name only one input. */
function renderLabel(field: Field, id: string): Html {
    const mark = field.isRequired ? renderHtml` <span class="required">(required)</span>` : undefined;
    return field.control.kind === "choices"
        ? renderHtml`<span class="label" id="${id}-label">${field.label}${mark}</span>`
        : renderHtml`<label class="label" for="${id}">${field.label}${mark}</label>`;
}

function renderField(field: Field, piece: unknown, findings: readonly Finding[]): Html {
    const id = formatInputId(formatFieldName(field));
    const inputAttributes = {
        describedBy: findings.length > 0 ? `${id}-findings ${id}-help` : `${id}-help`,
        id,
        isInvalid: findings.length > 0,
    };
    const fallback = field.defaultText === undefined ? undefined : `Default: ${field.defaultText}.`;
    return renderHtml`<div class="field${findings.length > 0 && " faulty"}">
${renderLabel(field, id)}
${renderControl(field, piece, inputAttributes)}
${renderFindings(findings, `${id}-findings`)}
<p class="help" id="${id}-help">${field.help} ${fallback}</p>
</div>`;
}

/** Renders a group of fields. */
export function renderFieldGroup(group: FieldGroup, piece: unknown, placed: FormFindings): Html {
    const key = group.segments[0] ?? "";
    const help = group.help === "" ? undefined : renderHtml`<p class="help">${group.help}</p>`;
    const fields = group.fields.map(field =>
        renderField(field, piece, placed.byField.get(formatFieldName(field)) ?? [])
    );
    return renderHtml`<fieldset id="group-${key}"><legend>${group.label}</legend>
${help}${renderFindings(placed.byGroup.get(key) ?? [], `group-${key}-findings`)}${fields}</fieldset>`;
}
