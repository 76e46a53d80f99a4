import { readFileSync } from "node:fs";
import type { SourceDocument } from "../../index.js";
import { parseDocument } from "../../index.js";

/** Reads the text of a document of `examples/`. */
export function readExample(name: "lakeshore" | "marshals"): string {
    return readFileSync(new URL(`../../../../../examples/${name}.yaml`, import.meta.url), "utf8");
}

/** Parses a document that is known to be valid. */
export function parseExample(name: "lakeshore" | "marshals"): SourceDocument {
    return parseDocument(readExample(name)).mapLeft(findings => new Error(JSON.stringify(findings))).unsafeCoerce();
}

/** Replaces text and throws if it does not occur, so that a fixture can't silently stay valid. */
export function replaceText(text: string, replacements: Readonly<Record<string, string>>): string {
    return Object.entries(replacements).reduce((changed, [from, to]) => {
        if (!changed.includes(from)) {
            throw new Error(`The fixture does not contain "${from}".`);
        }
        return changed.replace(from, to);
    }, text);
}
