/** Formats a document as YAML, with keys in the order of the schema. */
import type { TSchema } from "@sinclair/typebox";
import { stringify } from "yaml";
import type { SourceDocument } from "./DocumentSchema.js";
import { DocumentSchema } from "./DocumentSchema.js";

/** Column at which the YAML writer folds lines; 0 disables folding. */
const YAML_LINE_WIDTH = 0;

/** Orders keys as in the schema, and the names of a mapping alphabetically. */
function sortKeys(schema: TSchema | undefined, value: unknown): unknown {
    if (typeof value !== "object" || value === null || Array.isArray(value) || schema === undefined) {
        return value;
    }
    const properties = schema["properties"] as Readonly<Record<string, TSchema>> | undefined;
    const items = Object.values((schema["patternProperties"] ?? {}) as Readonly<Record<string, TSchema>>)[0];
    const given = value as Readonly<Record<string, unknown>>;
    const keys = items === undefined ? Object.keys(properties ?? {}) : Object.keys(given).sort();
    return Object.fromEntries(
        keys.filter(key => Object.hasOwn(given, key)).map(
            key => [key, sortKeys(items ?? properties?.[key], given[key])],
        ),
    );
}

/** Formats a validated document as YAML. */
export function formatDocument(source: SourceDocument): string {
    return stringify(sortKeys(DocumentSchema, source), { lineWidth: YAML_LINE_WIDTH });
}
