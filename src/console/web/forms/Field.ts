/** Fields of a form, derived from the schema of the document. */

/** How a setting is entered. */
export type Control =
    | { readonly kind: "text"; }
    | { readonly kind: "paragraph"; }
    | { readonly kind: "integer"; }
    | { readonly kind: "boolean"; }
    /** One of some values; `isReference` when they are names that the document defines. */
    | { readonly kind: "choice"; readonly choices: readonly string[]; readonly isReference: boolean; }
    /** Words separated by commas or spaces. */
    | { readonly kind: "list"; }
    /** Any of the names that the document defines. */
    | { readonly kind: "choices"; readonly choices: readonly string[]; }
    /** One region a line, with its failure domains. */
    | { readonly kind: "regions"; };

export interface Field {
    /** Keys from the edited piece to the setting. */
    readonly segments: readonly string[];
    readonly label: string;
    readonly help: string;
    readonly isRequired: boolean;
    /** What applies while the field is empty; undefined when there is no default. */
    readonly defaultText: string | undefined;
    readonly control: Control;
}

/** Fields that belong together. */
export interface FieldGroup {
    /** Keys from the edited piece to the group; empty for the piece itself. */
    readonly segments: readonly string[];
    readonly label: string;
    readonly help: string;
    /** An optional group without any value is left out of the document. */
    readonly isRequired: boolean;
    readonly fields: readonly Field[];
}

/** Formats the name of a field's input. */
export function formatFieldName(field: Pick<Field, "segments">): string {
    return `piece.${field.segments.join(".")}`;
}
