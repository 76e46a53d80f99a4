/** Form fields, derived from the schema of the document. */

/** Input control of a setting. */
export type Control =
    | { readonly kind: "text"; }
    | { readonly kind: "paragraph"; }
    | { readonly kind: "integer"; }
    | { readonly kind: "boolean"; }
    /** One of several values; `isReference` when they are names that the document defines. */
    | { readonly kind: "choice"; readonly choices: readonly string[]; readonly isReference: boolean; }
    /** Words separated by commas or spaces. */
    | { readonly kind: "list"; }
    /** Any of the names that the document defines. */
    | { readonly kind: "choices"; readonly choices: readonly string[]; }
    /** One region per line, with its failure domains. */
    | { readonly kind: "regions"; };

export interface Field {
    /** Path of the setting in the edited target. */
    readonly segments: readonly string[];
    readonly label: string;
    readonly help: string;
    readonly isRequired: boolean;
    /** Default that applies while the field is empty; undefined when there is none. */
    readonly defaultText: string | undefined;
    readonly control: Control;
}

/** Fields that are shown together under one label. */
export interface FieldGroup {
    /** Path of the group in the edited target; empty for the target's own settings. */
    readonly segments: readonly string[];
    readonly label: string;
    readonly help: string;
    /** An optional group without any value is omitted from the document. */
    readonly isRequired: boolean;
    readonly fields: readonly Field[];
}

/** Returns the name of a field's input element. */
export function formatFieldName(field: Pick<Field, "segments">): string {
    return `piece.${field.segments.join(".")}`;
}
