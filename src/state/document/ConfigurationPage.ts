/** Renders docs/configuration.md from the schema, so that the page always matches it. */
import { DocumentSchema } from "./DocumentSchema.js";
import { listUnits } from "./Quantity.js";
import { NAME_PATTERN } from "./SchemaBuilders.js";
import type { AnnotatedSchema } from "./SchemaRules.js";

const INTRODUCTION = `# Configuration

This page is generated from the schema by \`npm run docs:configuration\`. A test fails when it falls behind.

A document describes one mesh, in YAML or JSON. \`papayaturn validate FILE\` checks it and reports all findings with
line and column. \`examples/lakeshore.yaml\` and \`examples/marshals.yaml\` are complete documents.

Quantities are written with their unit, for example \`250ms\` or \`8KB\`. 1 KB is 1,000 bytes and 1 KiB is 1,024 bytes.
Names have at most 63 lower-case letters, digits and hyphens, and begin and end with a letter or digit.

Rules between the parts of a document:

- A route names a service, a class and resources that the document has.
- Two routes with the same host and path have no method in common.
- A service names failure domains that a region has; a failure domain belongs to one region.
- \`storeRegion\` is one of the regions.
- A service has at least as many connections as slots.
- An entry has at most 256,000 bytes and the document at most 8,000,000.
`;

/** Returns the type of a value as named in the tables. */
function describeKind({ enum: choices, items, pattern, quantity, type }: AnnotatedSchema): string {
    if (quantity !== undefined) {
        return quantity;
    }
    if (choices !== undefined) {
        return "choice";
    }
    if (type === "array") {
        return items?.pattern === NAME_PATTERN ? "list of names" : "list of text";
    }
    if (pattern === NAME_PATTERN) {
        return "name";
    }
    const kinds: Readonly<Record<string, string>> = {
        boolean: "true or false",
        integer: "whole number",
        string: "text",
    };
    return kinds[type ?? ""] ?? "mapping";
}

function describeRange(schema: AnnotatedSchema): string {
    if (schema.quantity !== undefined) {
        return `${schema.lowest} to ${schema.highest} (${listUnits(schema.quantity).join(", ")})`;
    }
    if (schema.enum !== undefined) {
        return schema.enum.map(choice => `\`${choice}\``).join(", ");
    }
    if (schema.type === "integer") {
        return `${schema.minimum} to ${schema.maximum}`;
    }
    return schema.pattern === undefined || schema.pattern === NAME_PATTERN
        ? ""
        : `\`${schema.pattern.replaceAll("|", "\\|")}\``;
}

function formatCode(value: unknown): string {
    return value === undefined ? "" : `\`${typeof value === "string" ? value : JSON.stringify(value)}\``;
}

function formatDefault(name: string, schema: AnnotatedSchema, parent: AnnotatedSchema): string {
    if (parent.required?.includes(name) === true) {
        return "required";
    }
    return schema.default === undefined ? "none" : formatCode(schema.default);
}

function formatRow(name: string, schema: AnnotatedSchema, parent: AnnotatedSchema): string {
    const cells = [
        `\`${name}\``,
        describeKind(schema),
        formatDefault(name, schema, parent),
        describeRange(schema),
        formatCode(schema.examples?.[0]),
        schema.description ?? "",
    ];
    return `| ${cells.join(" | ")} |`;
}

/** A section of the page: one mapping with its fields. */
interface PageSection {
    readonly path: string;
    readonly schema: AnnotatedSchema;
}

/** Returns the item schema of a mapping from names; undefined for any other schema. */
function getItemSchema(schema: AnnotatedSchema): AnnotatedSchema | undefined {
    return Object.values(schema.patternProperties ?? {})[0];
}

/** Lists the mappings below a path, each before its nested ones. */
function* listSections(path: string, schema: AnnotatedSchema): Generator<PageSection> {
    const item = getItemSchema(schema);
    if (item !== undefined) {
        yield* listSections(`${path}.<name>`, item);
        return;
    }
    if (schema.properties === undefined) {
        return;
    }
    yield { path, schema };
    for (const [name, property] of Object.entries(schema.properties)) {
        yield* listSections(path === "" ? name : `${path}.${name}`, property);
    }
}

/** Returns whether a field is described in its own section instead of a table row. */
function hasSection(schema: AnnotatedSchema): boolean {
    return schema.properties !== undefined || getItemSchema(schema)?.properties !== undefined;
}

function formatSection({ path, schema }: PageSection): string {
    const fields = Object.entries(schema.properties ?? {}).filter(([, field]) => !hasSection(field));
    const rows = fields.map(([name, field]) => formatRow(name, field, schema));
    const table = [
        "| Field | Kind | Default | Range | Example | Meaning |",
        "|---|---|---|---|---|---|",
        ...rows,
    ];
    return [`## \`${path}\``, "", schema.description ?? "", ...(rows.length > 0 ? ["", ...table] : [])].join("\n");
}

/** Renders the page as Markdown. */
export function renderConfigurationPage(): string {
    const sections = [...listSections("", DocumentSchema)].filter(({ path }) => path !== "").map(formatSection);
    return `${[INTRODUCTION.trimEnd(), ...sections].join("\n\n")}\n`;
}
