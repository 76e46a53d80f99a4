export { hasDotSegment, matchRoute } from "./RouteTable.js";
export type { RouteQuery } from "./RouteTable.js";
