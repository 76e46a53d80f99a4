/**
 * Largest document text. A daemon holds the whole document in its 64 MB, so the limit is far below
 * what the store could hold in parts of 512 KB.
 */
export const MAXIMUM_DOCUMENT_BYTES = 8_000_000;

/** Largest JSON text of one service, route, class or named resource; it has to fit into one part of 512 KB. */
export const MAXIMUM_RESOURCE_BYTES = 256_000;

/** Deepest nesting accepted; the schema itself needs 5 levels. */
export const MAXIMUM_DEPTH = 16;

/** Findings reported for one document; more would hide the first ones. */
export const MAXIMUM_FINDINGS = 200;

/** Syntax findings reported for one document; most of them follow from the first. */
export const MAXIMUM_SYNTAX_FINDINGS = 10;
