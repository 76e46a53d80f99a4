import type { MeshDocument, RouteSettings } from "../../state/document/index.js";

/** Parts of a request that determine its route. */
export interface RouteQuery {
    readonly method: string;
    /** Path without query. */
    readonly path: string;
    /** Host name in lower case, without port. */
    readonly host: string | undefined;
}

const sortedRoutes = new WeakMap<MeshDocument, readonly RouteSettings[]>();

/**
 * Finds the route of a request: the longest matching path prefix wins, then a route with a host,
 * then one with methods, then the name in alphabetical order.
 */
export function matchRoute(document: MeshDocument, query: RouteQuery): RouteSettings | undefined {
    let routes = sortedRoutes.get(document);
    if (routes === undefined) {
        routes = Object.values(document.routes).sort(compareRoutes);
        sortedRoutes.set(document, routes);
    }
    return routes.find(route => isMatch(route, query));
}

function compareRoutes(left: RouteSettings, right: RouteSettings): number {
    return right.match.pathPrefix.length - left.match.pathPrefix.length
        || Number(right.match.host !== undefined) - Number(left.match.host !== undefined)
        || Number(right.match.methods.length > 0) - Number(left.match.methods.length > 0)
        || (left.name < right.name ? -1 : 1);
}

function isMatch(route: RouteSettings, query: RouteQuery): boolean {
    const { methods, pathPrefix, host } = route.match;
    return (methods.length === 0 || methods.includes(query.method))
        && (host === undefined || host.toLowerCase() === query.host)
        && hasPathPrefix(query.path, pathPrefix);
}

function hasPathPrefix(path: string, prefix: string): boolean {
    return path.startsWith(prefix)
        && (path.length === prefix.length || prefix.endsWith("/") || path[prefix.length] === "/");
}

/** Dot segments, plain or percent-encoded, which a server might resolve to a path of another route. */
const DOT_SEGMENT_PATTERN = /(?:^|[/\\]|%2f|%5c)(?:\.|%2e){1,2}(?:$|[/\\]|%2f|%5c)/i;

/** Whether a path could escape its route's prefix when a server normalizes it. */
export function hasDotSegment(path: string): boolean {
    return (path.includes(".") || path.includes("%")) && DOT_SEGMENT_PATTERN.test(path);
}
