/** Builders of recurring schema elements. */
import type { Static, TSchema } from "@sinclair/typebox";
import { Type } from "@sinclair/typebox";
import type { QuantityKind } from "./Quantity.js";
import { formatQuantityPattern } from "./Quantity.js";

/** Pattern of the names of services, routes, classes, resources, regions and failure domains. */
export const NAME_PATTERN = "^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$";

/** Annotations of a quantity; `lowest` and `highest` are inclusive and written with units. */
interface QuantityOptions {
    readonly description: string;
    readonly lowest: string;
    readonly highest: string;
    readonly default: string;
    readonly examples: readonly string[];
}

/** Builds an optional quantity with a unit. */
export function buildQuantity(kind: QuantityKind, options: QuantityOptions) {
    return Type.Optional(Type.String({ ...options, pattern: formatQuantityPattern(kind), quantity: kind }));
}

/** Builds an optional enumeration of the values of a constant object. */
export function buildChoice<Choice extends string>(choices: Readonly<Record<string, Choice>>, options: object) {
    return Type.Optional(Type.Unsafe<Choice>({ ...options, enum: Object.values(choices), type: "string" }));
}

export function buildName(description: string, example: string) {
    return Type.String({ description, examples: [example], pattern: NAME_PATTERN });
}

/** Builds an object that accepts no other keys. */
export function buildObject<Properties extends Record<string, TSchema>>(properties: Properties, options: object = {}) {
    return Type.Object(properties, { additionalProperties: false, ...options });
}

/** Builds a mapping from names to items. */
export function buildMapping<Item extends TSchema>(item: Item, options: object = {}) {
    return Type.Record(Type.String({ pattern: NAME_PATTERN }), item, { additionalProperties: false, ...options });
}

/** Makes a group of settings optional; each of its settings has a default. */
export function buildOptionalGroup<Group extends TSchema>(group: Group, options: object) {
    return Type.Optional(Type.Unsafe<Static<Group>>({ ...group, ...options }));
}
