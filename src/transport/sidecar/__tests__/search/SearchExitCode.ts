/** Exit code of a search that has found a violation; Node.js itself ends with 1 after an uncaught exception. */
export const FOUND_EXIT_CODE = 10;
