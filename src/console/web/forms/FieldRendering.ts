/** Renders fields; the label, help and findings are linked to the input for screen readers. */
import type { Finding } from "../../../state/document/index.js";
import type { Html } from "../Html.js";
import { renderHtml } from "../Html.js";
import type { Field, FieldGroup } from "./Field.js";
import { formatFieldName } from "./Field.js";
import { formatFieldValue, listSelectedNames } from "./FieldValues.js";
import type { FormFindings } from "./FormFindings.js";

const PARAGRAPH_ROWS = 8;
const REGION_ROWS = 4;

/** Attributes that link an input to its help and findings. */
interface InputAttributes {
    readonly id: string;
    readonly describedBy: string;
    readonly isInvalid: boolean;
}

/** Returns the id of an input, without dots, so that style sheets and scripts can select it. */
export function formatInputId(name: string): string {
    return name.replaceAll(/[^A-Za-z0-9]/g, "-");
}

/** Renders the findings of a field as a list. */
export function renderFindings(findings: readonly Finding[], id: string): Html | undefined {
    if (findings.length === 0) {
        return undefined;
    }
    const items = findings.map(finding => renderHtml`<li>${finding.message} Expected ${finding.expected}.</li>`);
    return renderHtml`<ul class="findings" id="${id}">${items}</ul>`;
}

function renderInputAttributes({ describedBy, id, isInvalid }: InputAttributes): Html {
    const ariaInvalid = isInvalid ? renderHtml` aria-invalid="true"` : undefined;
    return renderHtml`id="${id}" aria-describedby="${describedBy}"${ariaInvalid}`;
}

function renderOption(value: string, label: string, selected: string): Html {
    return renderHtml`<option value="${value}"${value === selected && renderHtml` selected`}>${label}</option>`;
}

/** Renders a select element. A value that is no longer defined stays an option, so that no input is lost. */
function renderSelect(
    field: Field,
    choices: readonly (readonly [string, string])[],
    value: string,
    inputAttributes: InputAttributes,
) {
    const empty = field.isRequired ? "Choose…" : `Default (${field.defaultText ?? "none"})`;
    const isUnknown = value !== "" && choices.every(([choice]) => choice !== value);
    const options = [
        renderOption("", empty, value),
        isUnknown && renderOption(value, `${value} (not defined)`, value),
        choices.map(([choice, label]) => renderOption(choice, label, value)),
    ];
    return renderHtml`<select name="${formatFieldName(field)}" ${
        renderInputAttributes(inputAttributes)
    }>${options}</select>`;
}

function renderChoices(
    field: Field,
    choices: readonly string[],
    settings: unknown,
    inputAttributes: InputAttributes,
): Html {
    const selected = listSelectedNames(field, settings);
    const all = [...new Set([...choices, ...selected])];
    const boxes = all.map(choice =>
        renderHtml`<label class="box"><input type="checkbox" name="${formatFieldName(field)}" value="${choice}"${
            selected.includes(choice) && renderHtml` checked`
        }> ${choice}</label>`
    );
    return renderHtml`<div role="group" ${
        renderInputAttributes(inputAttributes)
    } aria-labelledby="${inputAttributes.id}-label" tabindex="-1">${
        all.length === 0 ? "The document defines none." : boxes
    }</div>`;
}

function renderTextArea(field: Field, rows: number, value: string, inputAttributes: InputAttributes): Html {
    // Browsers drop a line break directly after the tag; this one protects a leading line break of the value.
    return renderHtml`<textarea name="${formatFieldName(field)}" rows="${rows}" ${
        renderInputAttributes(inputAttributes)
    }>
${value}</textarea>`;
}

function renderControl(field: Field, settings: unknown, inputAttributes: InputAttributes): Html {
    const value = formatFieldValue(field, settings);
    const { control } = field;
    switch (control.kind) {
        case "choice":
            return renderSelect(field, control.choices.map(choice => [choice, choice]), value, inputAttributes);
        case "boolean":
            return renderSelect(field, [["true", "yes"], ["false", "no"]], value, inputAttributes);
        case "choices":
            return renderChoices(field, control.choices, settings, inputAttributes);
        case "paragraph":
            return renderTextArea(field, PARAGRAPH_ROWS, value, inputAttributes);
        case "regions":
            return renderTextArea(field, REGION_ROWS, value, inputAttributes);
        default: {
            const mode = control.kind === "integer" ? "numeric" : "text";
            return renderHtml`<input type="text" inputmode="${mode}" name="${
                formatFieldName(field)
            }" value="${value}" placeholder="${
                field.defaultText ?? ""
            }" autocomplete="off" spellcheck="false" autocapitalize="none" ${renderInputAttributes(inputAttributes)}>`;
        }
    }
}

/** Check boxes are labelled with `aria-labelledby`, because a label element applies to one input only. */
function renderLabel(field: Field, id: string): Html {
    const mark = field.isRequired ? renderHtml` <span class="required">(required)</span>` : undefined;
    return field.control.kind === "choices"
        ? renderHtml`<span class="label" id="${id}-label">${field.label}${mark}</span>`
        : renderHtml`<label class="label" for="${id}">${field.label}${mark}</label>`;
}

function renderField(field: Field, settings: unknown, findings: readonly Finding[]): Html {
    const id = formatInputId(formatFieldName(field));
    const inputAttributes = {
        describedBy: findings.length > 0 ? `${id}-findings ${id}-help` : `${id}-help`,
        id,
        isInvalid: findings.length > 0,
    };
    const defaultNote = field.defaultText === undefined ? undefined : `Default: ${field.defaultText}.`;
    return renderHtml`<div class="field${findings.length > 0 && " faulty"}">
${renderLabel(field, id)}
${renderControl(field, settings, inputAttributes)}
${renderFindings(findings, `${id}-findings`)}
<p class="help" id="${id}-help">${field.help} ${defaultNote}</p>
</div>`;
}

/** Renders a group of fields. */
export function renderFieldGroup(group: FieldGroup, settings: unknown, formFindings: FormFindings): Html {
    const key = group.segments[0] ?? "";
    const help = group.help === "" ? undefined : renderHtml`<p class="help">${group.help}</p>`;
    const fields = group.fields.map(field =>
        renderField(field, settings, formFindings.byField.get(formatFieldName(field)) ?? [])
    );
    return renderHtml`<fieldset id="group-${key}"><legend>${group.label}</legend>
${help}${renderFindings(formFindings.byGroup.get(key) ?? [], `group-${key}-findings`)}${fields}</fieldset>`;
}
