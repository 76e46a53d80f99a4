/** One change of an operator. It travels in hidden fields of the pages, because the console keeps nothing. */
import type { SourceDocument } from "../../../state/document/index.js";

/** Sections of a document that hold named entries. */
export const ENTRY_SECTIONS = ["services", "routes", "classes", "resources"] as const;
export type EntrySection = (typeof ENTRY_SECTIONS)[number];

/** An entry of a section, or the settings of the mesh, which have no name. */
export type EditTarget =
    | { readonly section: EntrySection; readonly name: string; }
    | { readonly section: "mesh"; };

export type Edit =
    /** Adds or replaces an entry; `piece` is checked only with the whole document. */
    | { readonly kind: "set"; readonly target: EditTarget; readonly piece: unknown; readonly isNew: boolean; }
    | { readonly kind: "remove"; readonly target: EditTarget; }
    /** Takes in a whole document. */
    | { readonly kind: "replace"; readonly document: SourceDocument; }
    /** Makes the document of an earlier version current again. */
    | { readonly kind: "restore"; readonly version: number; readonly document: SourceDocument; };

/** An edit with the version that the operator saw, and the reason for the history. */
export interface Draft {
    readonly baseVersion: number;
    readonly edit: Edit;
    readonly message: string;
}

type Sections = Readonly<Record<string, unknown>>;

/** True for the name of a section with entries. */
export function isEntrySection(text: unknown): text is EntrySection {
    return ENTRY_SECTIONS.some(section => section === text);
}

/** Gives the path of the edited piece in a document. */
export function listTargetSegments(target: EditTarget): readonly string[] {
    return target.section === "mesh" ? ["mesh"] : [target.section, target.name];
}

/** Reads a section without inherited members, because `constructor` is a valid name. */
function readSection(document: Sections, section: string): Sections {
    return (document[section] ?? {}) as Sections;
}

/** Reads the piece of a document that an edit concerns; undefined when there is none. */
export function getTargetSettings(document: SourceDocument | undefined, target: EditTarget): unknown {
    if (document === undefined || target.section === "mesh") {
        return document?.mesh;
    }
    const section = readSection(document, target.section);
    return Object.hasOwn(section, target.name) ? section[target.name] : undefined;
}

/** Applies an edit. The result is a document only after validation. */
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

/** Parses the hidden fields of a draft; undefined when they are incomplete. */
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

/** Words for the sections, as a heading and for one entry. */
export const SECTION_LABELS = {
    classes: { heading: "Classes", one: "class" },
    resources: { heading: "Resources", one: "resource" },
    routes: { heading: "Routes", one: "route" },
    services: { heading: "Services", one: "service" },
} as const;

/** Describes what an edit is about, for headings: `service ledger`. */
export function describeTarget(target: EditTarget): string {
    return target.section === "mesh" ? "settings of the mesh" : `${SECTION_LABELS[target.section].one} ${target.name}`;
}

/** Describes an edit, for the history when the operator gives no reason. */
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
