export type * from "./MeshView.js";
