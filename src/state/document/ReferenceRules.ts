/** Rules between the sections of a document, checked only if it matches the schema. */
import type { SourceDocument, SourceRoute, SourceService } from "./DocumentSchema.js";
import type { PathSegment, Problem } from "./Finding.js";
import { parseQuantity, QuantityKind } from "./Quantity.js";
import { describeAlternatives } from "./Suggestion.js";

function createProblem(segments: readonly PathSegment[], message: string, expected: string): Problem {
    return { at: "value", expected, message, segments };
}

/** Reports a reference to a name that the document does not define. */
function* checkReference(
    kind: string,
    name: string,
    defined: Readonly<Record<string, unknown>>,
    segments: readonly PathSegment[],
): Generator<Problem> {
    if (!Object.hasOwn(defined, name)) {
        yield createProblem(
            segments,
            `The document has no ${kind} "${name}".`,
            describeAlternatives(name, Object.keys(defined)),
        );
    }
}

function* checkRegions(source: SourceDocument): Generator<Problem> {
    const regionOfDomain = new Map<string, string>();
    for (const [region, { failureDomains }] of Object.entries(source.mesh.regions)) {
        for (const [index, domain] of failureDomains.entries()) {
            const other = regionOfDomain.get(domain);
            if (other !== undefined && other !== region) {
                yield createProblem(
                    ["mesh", "regions", region, "failureDomains", index],
                    `Failure domain "${domain}" is already in region "${other}".`,
                    "each failure domain in one region",
                );
            }
            regionOfDomain.set(domain, region);
        }
    }
    yield* checkReference("region", source.mesh.storeRegion, source.mesh.regions, ["mesh", "storeRegion"]);
}

function* checkService(name: string, service: SourceService, domains: readonly string[]): Generator<Problem> {
    for (const domain of Object.keys(service.servers)) {
        if (!domains.includes(domain)) {
            yield {
                at: "key",
                expected: describeAlternatives(domain, domains),
                message: `No region has the failure domain "${domain}".`,
                segments: ["services", name, "servers", domain],
            };
        }
    }
    if (service.connections < service.slots) {
        yield createProblem(
            ["services", name, "connections"],
            `${service.connections} connections are too few for ${service.slots} slots.`,
            `at least ${service.slots}`,
        );
    }
    yield* checkRetryDelays(name, service);
}

function* checkRetryDelays(name: string, service: SourceService): Generator<Problem> {
    const { baseDelay, maximumDelay } = service.retry ?? {};
    if (baseDelay === undefined || maximumDelay === undefined) {
        return;
    }
    const base = parseQuantity(QuantityKind.Duration, baseDelay) ?? 0;
    const maximum = parseQuantity(QuantityKind.Duration, maximumDelay) ?? 0;
    if (maximum < base) {
        yield createProblem(
            ["services", name, "retry", "maximumDelay"],
            `The largest delay ${maximumDelay} is below the base delay ${baseDelay}.`,
            `at least ${baseDelay}`,
        );
    }
}

function* checkRoute(name: string, route: SourceRoute, source: SourceDocument): Generator<Problem> {
    const segments = ["routes", name];
    yield* checkReference("service", route.service, source.services, [...segments, "service"]);
    yield* checkReference("class", route.class, source.classes, [...segments, "class"]);
    for (const [index, resource] of (route.resources ?? []).entries()) {
        yield* checkReference("resource", resource, source.resources ?? {}, [...segments, "resources", index]);
    }
}

/** Removes trailing slashes, which do not affect matching. */
function normalizePath(path: string): string {
    return path.replace(/\/+$/, "");
}

/**
 * Returns whether two routes with the same host and path conflict. A route with methods takes precedence
 * over one for every method, so these two do not.
 */
function hasCommonMethod(first: SourceRoute, second: SourceRoute): boolean {
    const methods = first.match.methods ?? [];
    const others = second.match.methods ?? [];
    return methods.length === 0 && others.length === 0 || methods.some(method => others.includes(method));
}

/** Reports routes with the same host and path that can match the same request. */
function* checkRouteConflicts(source: SourceDocument): Generator<Problem> {
    const routesByKey = new Map<string, string[]>();
    for (const [name, route] of Object.entries(source.routes)) {
        const key = `${route.match.host ?? "*"} ${normalizePath(route.match.path)}`;
        const others = routesByKey.get(key) ?? [];
        const other = others.find(candidate => {
            const found = source.routes[candidate];
            return found !== undefined && hasCommonMethod(route, found);
        });
        if (other !== undefined) {
            yield createProblem(
                ["routes", name, "match"],
                `Route "${name}" matches the same requests as route "${other}".`,
                "another path, host or method",
            );
        }
        routesByKey.set(key, [...others, name]);
    }
}

/** Lists violations of the rules between sections in a document that matches the schema. */
export function* listReferenceProblems(source: SourceDocument): Generator<Problem> {
    const domains = Object.values(source.mesh.regions).flatMap(region => region.failureDomains);
    yield* checkRegions(source);
    for (const [name, service] of Object.entries(source.services)) {
        yield* checkService(name, service, domains);
    }
    for (const [name, route] of Object.entries(source.routes)) {
        yield* checkRoute(name, route, source);
    }
    yield* checkRouteConflicts(source);
}
