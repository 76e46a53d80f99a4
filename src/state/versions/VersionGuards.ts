/** Type guards and parsers for values that were read from the store or received from a peer. */
import type { Head, Manifest, Resource, VersionDelta } from "./Version.js";

type Fields = Readonly<Record<string, unknown>>;

function isObject(value: unknown): value is Fields {
    return typeof value === "object" && value !== null && !Array.isArray(value);
}

function isListOf<Item>(value: unknown, isItem: (item: unknown) => item is Item): value is readonly Item[] {
    return Array.isArray(value) && value.every(isItem);
}

function isString(value: unknown): value is string {
    return typeof value === "string";
}

function isVersionNumber(value: unknown): value is number {
    return Number.isSafeInteger(value) && (value as number) > 0;
}

/** Checks the structure of a resource, but not its hash. */
export function isResource(value: unknown): value is Resource {
    return isObject(value) && isString(value["name"]) && isString(value["content"]) && isString(value["hash"]);
}

/** Checks the structure of a delta; `applyDelta` checks its content. */
export function isVersionDelta(value: unknown): value is VersionDelta {
    return isObject(value) && isString(value["fromRoot"]) && isString(value["toRoot"])
        && isListOf(value["changed"], isResource) && isListOf(value["removed"], isString);
}

/** Checks the structure of a manifest; `verifyManifest` checks its signature. */
export function isManifest(value: unknown): value is Manifest {
    return isObject(value) && isVersionNumber(value["version"]) && isString(value["root"])
        && (value["previous"] === null || isString(value["previous"])) && isListOf(value["parts"], isString)
        && (value["delta"] === undefined || isVersionDelta(value["delta"])) && isString(value["author"])
        && Number.isFinite(value["time"]) && isString(value["message"]) && isString(value["mac"]);
}

function isHead(value: unknown): value is Head {
    return isObject(value) && isVersionNumber(value["version"]) && isString(value["root"])
        && isString(value["manifest"]);
}

function parseChecked<Value>(text: string, isValid: (value: unknown) => value is Value): Value | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return isValid(value) ? value : undefined;
    }
    catch {
        return undefined;
    }
}

/** Parses a stored manifest; undefined if the text is truncated or malformed. */
export function parseManifest(text: string): Manifest | undefined {
    return parseChecked(text, isManifest);
}

/** Parses the stored head; undefined if the text is truncated or malformed. */
export function parseHead(text: string): Head | undefined {
    return parseChecked(text, isHead);
}
