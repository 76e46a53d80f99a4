/** Canonical text and hash of a resource: equal content has equal hashes, whoever wrote it. */
import { createHash } from "node:crypto";
import type { Resource } from "./Version.js";

/** Formats a JSON value with sorted keys, so that equal values give equal text. */
export function formatCanonicalJson(value: unknown): string {
    return JSON.stringify(value, (_key, item: unknown) => {
        if (typeof item !== "object" || item === null || Array.isArray(item)) {
            return item;
        }
        return Object.fromEntries(Object.entries(item).sort(([a], [b]) => a < b ? -1 : 1));
    });
}

/** Computes the SHA-256 of a text, hexadecimal. */
export function computeHash(text: string): string {
    return createHash("sha256").update(text).digest("hex");
}

/** Creates the resource of one entry of a document. */
export function createResource(name: string, entry: unknown): Resource {
    const content = formatCanonicalJson(entry);
    return { content, hash: computeHash(content), name };
}
