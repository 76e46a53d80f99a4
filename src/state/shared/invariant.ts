/** Throws when a condition that the program itself guarantees does not hold. */
export function invariant(condition: unknown, message: string): asserts condition {
    if (!condition) {
        throw new Error(`Invariant violated: ${message}`);
    }
}
