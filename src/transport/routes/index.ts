export { findOutdatedRefusal } from "./OutdatedRefusal.js";
export { RouteQueries } from "./RouteQueries.js";
export type { RouteAnswer, RouteQueriesOptions } from "./RouteQueries.js";
export { RouteResolver } from "./RouteResolver.js";
export type { RouteDecision, RouteQuestion, RouteResolverOptions, RouteSource } from "./RouteResolver.js";
