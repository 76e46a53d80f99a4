/** Largest value that the store accepts, in bytes of UTF-8. */
export const MAXIMUM_VALUE_BYTES = 1_000_000;
