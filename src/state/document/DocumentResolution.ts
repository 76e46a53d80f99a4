/** Resolves a source document to the form that daemons use: units converted, defaults filled in. */
import type { TSchema } from "@sinclair/typebox";
import { invariant } from "../shared/index.js";
import type { Resource } from "../versions/index.js";
import { findSection, SECTION_PREFIXES, splitDocument } from "./DocumentResources.js";
import type {
    SourceClass,
    SourceDocument,
    SourceMesh,
    SourceNamedResource,
    SourceRoute,
    SourceService,
} from "./DocumentSchema.js";
import type {
    ClassSettings,
    MeshDocument,
    MeshSettings,
    NamedResource,
    RouteSettings,
    ServiceSettings,
} from "./MeshDocument.js";
import { MeshSchema } from "./MeshSchema.js";
import { parseQuantity, QuantityKind } from "./Quantity.js";
import { ClassSchema, NamedResourceSchema, RouteSchema } from "./RouteSchema.js";
import { ServiceSchema } from "./ServiceSchema.js";

/** A source type whose optional settings were filled in with their defaults. */
type WithDefaults<Source> = Source extends readonly unknown[] ? Source
    : Source extends object ? { readonly [Key in keyof Source]-?: WithDefaults<Exclude<Source[Key], undefined>>; }
    : Source;

/** Fills in the defaults of the schema, through nested groups of settings. */
function applyDefaults(schema: TSchema, source: unknown): unknown {
    const value = source ?? schema["default"];
    const properties = schema["properties"] as Readonly<Record<string, TSchema>> | undefined;
    if (properties === undefined || typeof value !== "object" || value === null) {
        return value;
    }
    const given = value as Readonly<Record<string, unknown>>;
    return Object.fromEntries(
        Object.entries(properties).map(([key, property]) => [key, applyDefaults(property, given[key])]),
    );
}

function toBaseUnit(kind: QuantityKind, text: string): number {
    const amount = parseQuantity(kind, text);
    invariant(amount !== undefined, `a validated document holds the ${kind} "${text}"`);
    return amount;
}

function toMilliseconds(text: string): number {
    return toBaseUnit(QuantityKind.Duration, text);
}

function resolveMesh(source: SourceMesh): MeshSettings {
    const filled = applyDefaults(MeshSchema, source) as WithDefaults<SourceMesh>;
    return {
        claims: {
            answerBytes: toBaseUnit(QuantityKind.Size, filled.claims.answer),
            retentionMs: toMilliseconds(filled.claims.retention),
            shards: filled.claims.shards,
        },
        latency: {
            betweenFailureDomainsMs: toMilliseconds(filled.latency.betweenFailureDomains),
            betweenRegionsMs: toMilliseconds(filled.latency.betweenRegions),
            toClientsMs: toMilliseconds(filled.latency.toClients),
        },
        linkBitsPerSecond: toBaseUnit(QuantityKind.BitRate, filled.link),
        name: filled.name,
        regions: filled.regions,
        storeRegion: filled.storeRegion,
        weighing: filled.weighing,
    };
}

function resolveService(name: string, source: SourceService): ServiceSettings {
    const filled = applyDefaults(ServiceSchema, source) as WithDefaults<SourceService>;
    return {
        connectTimeoutMs: toMilliseconds(filled.connectTimeout),
        connectionCostMs: toMilliseconds(filled.connectionCost),
        connections: filled.connections,
        name,
        probe: {
            costMs: toMilliseconds(filled.probe.cost),
            intervalMs: toMilliseconds(filled.probe.interval),
            path: filled.probe.path,
            timeoutMs: toMilliseconds(filled.probe.timeout),
        },
        queue: { deadlineMs: toMilliseconds(filled.queue.deadline), length: filled.queue.length },
        retry: {
            attempts: filled.retry.attempts,
            baseDelayMs: toMilliseconds(filled.retry.baseDelay),
            budget: toBaseUnit(QuantityKind.Share, filled.retry.budget),
            maximumDelayMs: toMilliseconds(filled.retry.maximumDelay),
            minimumPerSecond: toBaseUnit(QuantityKind.Frequency, filled.retry.minimum),
        },
        servers: filled.servers,
        slots: filled.slots,
        slowStartMs: toMilliseconds(filled.slowStart),
        whenAbsent: filled.whenAbsent,
    };
}

function resolveRoute(name: string, source: SourceRoute): RouteSettings {
    const filled = applyDefaults(RouteSchema, source) as WithDefaults<SourceRoute>;
    return {
        class: filled.class,
        match: {
            ...(source.match.host === undefined ? {} : { host: source.match.host }),
            methods: filled.match.methods,
            pathPrefix: filled.match.path,
        },
        maximumRequestBytes: toBaseUnit(QuantityKind.Size, filled.maximumRequest),
        name,
        repeatable: filled.repeatable,
        resources: filled.resources,
        service: filled.service,
        timeoutMs: toMilliseconds(filled.timeout),
    };
}

function resolveClass(name: string, source: SourceClass): ClassSettings {
    const filled = applyDefaults(ClassSchema, source) as WithDefaults<SourceClass>;
    return { maximumShare: toBaseUnit(QuantityKind.Share, filled.maximumShare), name, weight: filled.weight };
}

function resolveNamedResource(name: string, source: SourceNamedResource): NamedResource {
    return { ...applyDefaults(NamedResourceSchema, source) as WithDefaults<SourceNamedResource>, name };
}

/** Cache of resolved settings. Snapshots share unchanged resources, so a new version resolves only changed ones. */
const resolvedResources = new WeakMap<Resource, unknown>();

function resolveResource(resource: Resource, name: string): unknown {
    const cached = resolvedResources.get(resource);
    if (cached !== undefined) {
        return cached;
    }
    const resolved = resolveSettings(resource.name, name, JSON.parse(resource.content));
    resolvedResources.set(resource, resolved);
    return resolved;
}

function resolveSettings(resourceName: string, name: string, entry: unknown): unknown {
    switch (findSection(resourceName)) {
        case "services":
            return resolveService(name, entry as SourceService);
        case "routes":
            return resolveRoute(name, entry as SourceRoute);
        case "classes":
            return resolveClass(name, entry as SourceClass);
        case "resources":
            return resolveNamedResource(name, entry as SourceNamedResource);
        default:
            return resolveMesh(entry as SourceMesh);
    }
}

/** Creates a record without a prototype, because `constructor` is a valid name. */
function createRecord<Item>(): Record<string, Item> {
    return Object.create(null) as Record<string, Item>;
}

/** Resolves the resources of an accepted version, which were validated before they were accepted. */
export function resolveResources(resources: Iterable<Resource>): MeshDocument {
    let mesh: MeshSettings | undefined;
    const sections = {
        classes: createRecord<ClassSettings>(),
        resources: createRecord<NamedResource>(),
        routes: createRecord<RouteSettings>(),
        services: createRecord<ServiceSettings>(),
    };
    for (const resource of resources) {
        const section = findSection(resource.name);
        const name = section === undefined ? "" : resource.name.slice(SECTION_PREFIXES[section].length);
        const resolved = resolveResource(resource, name);
        if (section === undefined) {
            mesh = resolved as MeshSettings;
            continue;
        }
        (sections[section] as Record<string, unknown>)[name] = resolved;
    }
    invariant(mesh !== undefined, "a version has mesh-wide settings");
    return { ...sections, mesh };
}

/** Resolves a validated source document. */
export function resolveDocument(source: SourceDocument): MeshDocument {
    return resolveResources(splitDocument(source));
}
