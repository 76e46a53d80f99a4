/** Returns a number from 0 up to, but not including, 1. */
export type Random = () => number;
