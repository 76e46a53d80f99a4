/** A change by an operator. It is carried in hidden form fields, because the console is stateless. */
import type { SourceDocument } from "../../../state/document/index.js";

/** Sections of a document that contain named entries. */
export const ENTRY_SECTIONS = ["services", "routes", "classes", "resources"] as const;
export type EntrySection = (typeof ENTRY_SECTIONS)[number];

/** What an edit changes: an entry of a section, or the settings of the mesh, which have no name. */
export type EditTarget =
    | { readonly section: EntrySection; readonly name: string; }
    | { readonly section: "mesh"; };

export type Edit =
    /** Adds or replaces the target; its settings, `piece`, are validated only as part of the whole document. */
    | { readonly kind: "set"; readonly target: EditTarget; readonly piece: unknown; readonly isNew: boolean; }
    | { readonly kind: "remove"; readonly target: EditTarget; }
    /** Replaces the whole document. */
    | { readonly kind: "replace"; readonly document: SourceDocument; }
    /** Makes the document of an earlier version current again. */
    | { readonly kind: "restore"; readonly version: number; readonly document: SourceDocument; };

/** An unpublished edit, the version it is based on, and its message for the history. */
export interface Draft {
    readonly baseVersion: number;
    readonly edit: Edit;
    readonly message: string;
}

type Sections = Readonly<Record<string, unknown>>;

/** True for the name of a section that contains entries. */
export function isEntrySection(text: unknown): text is EntrySection {
    return ENTRY_SECTIONS.some(section => section === text);
}

/** Returns the path of a target in a document. */
export function listTargetSegments(target: EditTarget): readonly string[] {
    return target.section === "mesh" ? ["mesh"] : [target.section, target.name];
}

/** Returns the entries of a section; empty when the document omits it. */
function readSection(document: Sections, section: string): Sections {
    return (document[section] ?? {}) as Sections;
}

/** Returns the settings of a target in a document; undefined when it is absent. */
export function getTargetSettings(document: SourceDocument | undefined, target: EditTarget): unknown {
    if (document === undefined || target.section === "mesh") {
        return document?.mesh;
    }
    const section = readSection(document, target.section);
    // Inherited members are ignored, because `constructor` is a valid name of an entry.
    return Object.hasOwn(section, target.name) ? section[target.name] : undefined;
}

/** Applies an edit. The result has to be validated before it is used as a document. */
export function applyEdit(document: SourceDocument | undefined, edit: Edit): unknown {
    if (edit.kind === "replace" || edit.kind === "restore") {
        return edit.document;
    }
    const { target } = edit;
    if (target.section === "mesh") {
        return { ...document, mesh: edit.kind === "set" ? edit.piece : undefined };
    }
    const entries = Object.entries(readSection({ ...document }, target.section))
        .filter(([name]) => name !== target.name);
    const added: readonly [string, unknown][] = edit.kind === "set" ? [[target.name, edit.piece]] : [];
    return { ...document, [target.section]: Object.fromEntries([...entries, ...added]) };
}

function isEditTarget(value: unknown): value is EditTarget {
    const { name, section } = (value ?? {}) as { readonly name?: unknown; readonly section?: unknown; };
    return section === "mesh" || (isEntrySection(section) && typeof name === "string");
}

function isEdit(value: unknown): value is Edit {
    if (typeof value !== "object" || value === null) {
        return false;
    }
    const edit = value as Partial<Record<string, unknown>>;
    switch (edit["kind"]) {
        case "set":
            return isEditTarget(edit["target"]) && "piece" in edit && typeof edit["isNew"] === "boolean";
        case "remove":
            return isEditTarget(edit["target"]);
        case "replace":
            return typeof edit["document"] === "object";
        case "restore":
            return typeof edit["document"] === "object" && Number.isSafeInteger(edit["version"]);
        default:
            return false;
    }
}

/** Parses the hidden fields of a draft; undefined when they are incomplete or malformed. */
export function parseDraft(fields: URLSearchParams): Draft | undefined {
    const baseVersion = Number(fields.get("baseVersion") ?? "none");
    try {
        const edit: unknown = JSON.parse(fields.get("edit") ?? "");
        return isEdit(edit) && Number.isSafeInteger(baseVersion)
            ? { baseVersion, edit, message: fields.get("message") ?? "" }
            : undefined;
    }
    catch {
        return undefined;
    }
}

/** Labels of the sections: the heading, and the noun for one entry. */
export const SECTION_LABELS = {
    classes: { heading: "Classes", singular: "class" },
    resources: { heading: "Resources", singular: "resource" },
    routes: { heading: "Routes", singular: "route" },
    services: { heading: "Services", singular: "service" },
} as const;

/** Describes a target for headings, for example `service ledger`. */
export function describeTarget(target: EditTarget): string {
    return target.section === "mesh"
        ? "settings of the mesh"
        : `${SECTION_LABELS[target.section].singular} ${target.name}`;
}

/** Describes an edit; the default message in the history. */
export function describeEdit(edit: Edit): string {
    switch (edit.kind) {
        case "set":
            return `${edit.isNew ? "Add" : "Change"} ${describeTarget(edit.target)}`;
        case "remove":
            return `Remove ${describeTarget(edit.target)}`;
        case "replace":
            return "Import a document";
        case "restore":
            return `Restore version ${edit.version}`;
    }
}
