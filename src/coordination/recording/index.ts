export type * from "./RequestRecorder.js";
