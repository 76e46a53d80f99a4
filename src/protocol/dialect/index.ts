export type { CallerStatement, Dialect, ServerInstruction, ServerStatement, StatedLoad } from "./Dialect.js";
