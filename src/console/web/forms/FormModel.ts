/** Derives the form of a section from the schema, so that labels, units, defaults and help are defined only once. */
import type { TSchema } from "@sinclair/typebox";
import type { SourceDocument } from "../../../state/document/index.js";
import { describeExpected, DocumentSchema } from "../../../state/document/index.js";
import type { EditTarget } from "../edits/index.js";
import { formatSetting } from "../edits/index.js";
import type { Control, Field, FieldGroup } from "./Field.js";

/** Names that the document defines and that settings can refer to. */
export interface KnownNames {
    readonly services: readonly string[];
    readonly classes: readonly string[];
    readonly resources: readonly string[];
    readonly regions: readonly string[];
    readonly failureDomains: readonly string[];
}

/** Settings whose values are names of the document, by section and path. */
const REFERENCE_SETTINGS: Readonly<Record<string, keyof KnownNames>> = {
    "mesh.storeRegion": "regions",
    "routes.class": "classes",
    "routes.resources": "resources",
    "routes.service": "services",
};

/** Settings that are texts of several lines. */
const MULTILINE_SETTINGS: ReadonlySet<string> = new Set(["resources.text"]);

/** Label of the group for settings that are in no group of the schema. */
const MAIN_GROUP_LABEL = "Settings";

/** Lists the names that a document defines. */
export function listKnownNames(document: SourceDocument | undefined): KnownNames {
    const regions = document?.mesh.regions ?? {};
    return {
        classes: Object.keys(document?.classes ?? {}).sort(),
        failureDomains: Object.values(regions).flatMap(region => region.failureDomains),
        regions: Object.keys(regions).sort(),
        resources: Object.keys(document?.resources ?? {}).sort(),
        services: Object.keys(document?.services ?? {}).sort(),
    };
}

function readProperties(schema: TSchema): Readonly<Record<string, TSchema>> {
    return (schema["properties"] ?? {}) as Readonly<Record<string, TSchema>>;
}

function isRequiredKey(schema: TSchema, key: string): boolean {
    return ((schema["required"] ?? []) as readonly string[]).includes(key);
}

/** Formats a key as a label: `baseDelay` becomes `Base delay`. */
export function formatLabel(key: string): string {
    const words = key.replace(/[A-Z]/g, letter => ` ${letter.toLowerCase()}`);
    return words.charAt(0).toUpperCase() + words.slice(1);
}

function selectControl(schema: TSchema, path: string, names: KnownNames): Control {
    const reference = REFERENCE_SETTINGS[path];
    if (schema["type"] === "array") {
        return reference === undefined ? { kind: "list" } : { choices: names[reference], kind: "choices" };
    }
    if (reference !== undefined) {
        return { choices: names[reference], isReference: true, kind: "choice" };
    }
    if (schema["enum"] !== undefined) {
        return { choices: schema["enum"] as readonly string[], isReference: false, kind: "choice" };
    }
    if (schema["type"] === "integer" || schema["type"] === "boolean") {
        return { kind: schema["type"] };
    }
    return { kind: MULTILINE_SETTINGS.has(path) ? "paragraph" : "text" };
}

/** Describes a setting, and the accepted values where the control doesn't show them. */
function describeHelp(schema: TSchema, control: Control): string {
    const description = (schema["description"] ?? "") as string;
    if (control.kind === "list") {
        const [example = []] = (schema["examples"] ?? []) as readonly (readonly string[])[];
        return `${description} Separate them by commas, such as ${example.join(", ")}.`;
    }
    const isStated = control.kind === "text" || control.kind === "integer";
    return isStated ? `${description} Enter ${describeExpected(schema)}.`.trim() : description;
}

/** Builds the field of one setting. */
function buildField(section: string, segments: readonly string[], parent: TSchema, names: KnownNames): Field {
    const key = segments.at(-1) ?? "";
    const schema = readProperties(parent)[key] ?? {} as TSchema;
    const control = selectControl(schema, [section, ...segments].join("."), names);
    const defaultValue: unknown = schema["default"];
    return {
        control,
        defaultText: defaultValue === undefined ? undefined : formatSetting(defaultValue),
        help: describeHelp(schema, control),
        isRequired: isRequiredKey(parent, key),
        label: formatLabel(key),
        segments,
    };
}

/** Builds a field for each failure domain, including those that have a value but are no longer defined. */
function buildDomainFields(schema: TSchema, key: string, settings: unknown, names: KnownNames): readonly Field[] {
    const existing = ((settings ?? {}) as Readonly<Record<string, unknown>>)[key];
    const domains = new Set([...names.failureDomains, ...Object.keys(existing ?? {})]);
    const itemSchema = Object.values((schema["patternProperties"] ?? {}) as Readonly<Record<string, TSchema>>)[0];
    return [...domains].map(domain => ({
        control: { kind: "integer" },
        defaultText: undefined,
        help: itemSchema === undefined ? "" : `Enter ${describeExpected(itemSchema)}, or nothing.`,
        isRequired: false,
        label: domain,
        segments: [key, domain],
    }));
}

function buildRegionsField(schema: TSchema, key: string): Field {
    return {
        control: { kind: "regions" },
        defaultText: undefined,
        help: `${schema["description"]} One region a line with its failure domains, such as "erie: erie-a, erie-b".`,
        isRequired: true,
        label: formatLabel(key),
        segments: [key],
    };
}

/** Finds the schema of a target's settings. */
function findTargetSchema(target: EditTarget): TSchema {
    const section = readProperties(DocumentSchema)[target.section] ?? {} as TSchema;
    const entries = Object.values((section["patternProperties"] ?? {}) as Readonly<Record<string, TSchema>>);
    return entries[0] ?? section;
}

/** Builds the groups of a form; settings that are in no group come first. */
export function buildFieldGroups(target: EditTarget, settings: unknown, names: KnownNames): readonly FieldGroup[] {
    const schema = findTargetSchema(target);
    const main: Field[] = [];
    const groups: FieldGroup[] = [];
    for (const [key, property] of Object.entries(readProperties(schema))) {
        const group = {
            help: (property["description"] ?? "") as string,
            isRequired: isRequiredKey(schema, key),
            label: formatLabel(key),
            segments: [key],
        };
        if (property["properties"] !== undefined) {
            const keys = Object.keys(readProperties(property));
            const fields = keys.map(inner => buildField(target.section, [key, inner], property, names));
            groups.push({ ...group, fields });
        }
        else if (target.section === "mesh" && property["patternProperties"] !== undefined) {
            main.push(buildRegionsField(property, key));
        }
        else if (property["patternProperties"] !== undefined) {
            groups.push({ ...group, fields: buildDomainFields(property, key, settings, names) });
        }
        else {
            main.push(buildField(target.section, [key], schema, names));
        }
    }
    const first = { fields: main, help: "", isRequired: true, label: MAIN_GROUP_LABEL, segments: [] };
    return main.length === 0 ? groups : [first, ...groups];
}
