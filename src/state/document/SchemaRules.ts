/** Validates a value against the schema and describes each violation for operators. */
import type { ErrorObject, ValidateFunction } from "ajv";
import { Ajv } from "ajv";
import { DocumentSchema } from "./DocumentSchema.js";
import type { PathSegment, Problem } from "./Finding.js";
import type { QuantityKind } from "./Quantity.js";
import { listUnits, parseQuantity } from "./Quantity.js";
import { NAME_PATTERN } from "./SchemaBuilders.js";
import { describeAlternatives } from "./Suggestion.js";

/** The keywords of a schema that messages and generated pages use. */
export interface AnnotatedSchema {
    readonly default?: unknown;
    readonly items?: AnnotatedSchema;
    readonly required?: readonly string[] | undefined;
    readonly type?: string;
    readonly description?: string;
    readonly enum?: readonly string[];
    readonly examples?: readonly unknown[];
    readonly quantity?: QuantityKind;
    readonly lowest?: string;
    readonly highest?: string;
    readonly minimum?: number;
    readonly maximum?: number;
    readonly pattern?: string;
    readonly properties?: Readonly<Record<string, AnnotatedSchema>>;
    readonly patternProperties?: Readonly<Record<string, AnnotatedSchema>>;
}

const NAME_DESCRIPTION =
    "a name of at most 63 lower-case letters, digits and hyphens that begins and ends with a letter or digit";

let compiledValidator: ValidateFunction | undefined;

/** Compiles the schema on first use: daemons load this module but don't validate. */
function getValidator(): ValidateFunction {
    if (compiledValidator === undefined) {
        const ajv = new Ajv({ allErrors: true, strictTypes: false, verbose: true });
        ajv.addKeyword({ keyword: "lowest" });
        ajv.addKeyword({ keyword: "highest" });
        ajv.addKeyword({
            error: { message: "is outside its range or has a wrong unit" },
            keyword: "quantity",
            type: "string",
            validate: (kind: QuantityKind, text: string, schema?: object) => isInRange(kind, text, { ...schema }),
        });
        compiledValidator = ajv.compile(DocumentSchema);
    }
    return compiledValidator;
}

function isInRange(kind: QuantityKind, text: string, schema: AnnotatedSchema): boolean {
    const amount = parseQuantity(kind, text);
    const lowest = parseQuantity(kind, schema.lowest ?? "");
    const highest = parseQuantity(kind, schema.highest ?? "");
    return amount !== undefined && amount >= (lowest ?? 0) && amount <= (highest ?? Infinity);
}

/** Describes what a schema accepts, for the `expected` of a finding. */
export function describeExpected(schema: AnnotatedSchema): string {
    if (schema.quantity !== undefined) {
        const example = JSON.stringify(schema.examples?.[0]);
        return `a ${schema.quantity} from ${schema.lowest} to ${schema.highest} in ${
            listUnits(schema.quantity).join(", ")
        }, such as ${example}`;
    }
    if (schema.enum !== undefined) {
        return `one of ${schema.enum.join(", ")}`;
    }
    if (schema.type === "integer") {
        return `a whole number from ${schema.minimum} to ${schema.maximum}`;
    }
    if (schema.pattern === NAME_PATTERN) {
        return NAME_DESCRIPTION;
    }
    return describeContainer(schema);
}

function describeContainer(schema: AnnotatedSchema): string {
    switch (schema.type) {
        case "object":
            return schema.properties === undefined
                ? "a mapping from names"
                : `a mapping with the keys ${Object.keys(schema.properties).join(", ")}`;
        case "array":
            return `a list such as ${JSON.stringify(schema.examples?.[0])}`;
        case "string":
            return schema.examples === undefined ? "text" : `text such as ${JSON.stringify(schema.examples[0])}`;
        case "boolean":
            return "true or false";
        default:
            return schema.type ?? "another value";
    }
}

/** Converts a JSON pointer to path segments; the value shows which of them are list indexes. */
function parsePointer(pointer: string, root: unknown): readonly PathSegment[] {
    let value = root;
    return pointer.split("/").slice(1).map(escaped => {
        const key = escaped.replaceAll("~1", "/").replaceAll("~0", "~");
        const segment = Array.isArray(value) ? Number(key) : key;
        value = (value as Record<PathSegment, unknown> | undefined)?.[segment];
        return segment;
    });
}

function describeUnknownKey(key: string, segments: readonly PathSegment[], schema: AnnotatedSchema): Problem {
    const isNameMapping = schema.patternProperties !== undefined && Object.keys(schema.properties ?? {}).length === 0;
    return {
        at: "key",
        expected: isNameMapping ? NAME_DESCRIPTION : describeAlternatives(key, Object.keys(schema.properties ?? {})),
        message: isNameMapping ? `"${key}" is no valid name.` : `Unknown key "${key}".`,
        segments: [...segments, key],
    };
}

function describeValue(value: unknown): string {
    if (typeof value === "object" && value !== null) {
        return Array.isArray(value) ? "a list" : "a mapping";
    }
    const text = JSON.stringify(value) ?? "nothing";
    return text.length > 60 ? `${text.slice(0, 60)}…` : text;
}

function describeError(error: ErrorObject, root: unknown): Problem {
    const segments = parsePointer(error.instancePath, root);
    const schema = error.parentSchema as AnnotatedSchema;
    switch (error.keyword) {
        case "additionalProperties":
            return describeUnknownKey(String(error.params["additionalProperty"]), segments, schema);
        case "required": {
            const key = String(error.params["missingProperty"]);
            const missing = schema.properties?.[key];
            return {
                at: "key",
                expected: missing === undefined ? "the key" : describeExpected(missing),
                message: `Key "${key}" is missing.`,
                segments,
            };
        }
        case "uniqueItems":
            return { at: "value", expected: "each item once", message: "An item is listed twice.", segments };
        case "minItems":
        case "minProperties":
            return { at: "value", expected: "at least one entry", message: "There is no entry.", segments };
        default:
            return {
                at: "value",
                expected: describeExpected(schema),
                message: `${describeValue(error.data)} is not accepted here.`,
                segments,
            };
    }
}

/** Lists schema violations of a value; empty if it is a source document. */
export function listSchemaProblems(value: unknown): readonly Problem[] {
    const validate = getValidator();
    if (validate(value)) {
        return [];
    }
    return (validate.errors ?? [])
        // The quantity keyword reports the same violation as its pattern, and states the range as well.
        .filter(error => error.keyword !== "pattern" || (error.parentSchema as AnnotatedSchema).quantity === undefined)
        .map(error => describeError(error, value));
}
