export { CONSOLE_FLAGS } from "./ConsoleFlags.js";
export { parseConsoleSettings } from "./ConsoleSettings.js";
export type { ConsoleSettings } from "./ConsoleSettings.js";
