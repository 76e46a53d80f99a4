/**
 * Maximum size of a document. A daemon keeps the whole document within its 64 MB of memory, so the limit
 * is far below what the store could hold in parts of 512 KB.
 */
export const MAXIMUM_DOCUMENT_BYTES = 8_000_000;

/** Maximum JSON size of one service, route, class or named resource, which must fit into one part of 512 KB. */
export const MAXIMUM_RESOURCE_BYTES = 256_000;

/** Maximum nesting levels of a document; the schema itself needs 5. */
export const MAXIMUM_DEPTH = 16;

/** Maximum findings reported for one document; more would hide the first ones. */
export const MAXIMUM_FINDINGS = 200;

/** Maximum syntax findings reported for one document; most errors follow from the first. */
export const MAXIMUM_SYNTAX_FINDINGS = 10;
