export type * from "./Version.js";
