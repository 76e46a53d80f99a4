/** Splits a document into resources with content hashes, and joins resources to a document. */
import type { Resource } from "../versions/index.js";
import { createResource } from "../versions/index.js";
import type { SourceDocument } from "./DocumentSchema.js";

/** Name of the resource of the mesh-wide settings. */
export const MESH_RESOURCE = "mesh";

/** Prefixes of resource names by section of the document. */
export const SECTION_PREFIXES = {
    classes: "class/",
    resources: "resource/",
    routes: "route/",
    services: "service/",
} as const;
export type Section = keyof typeof SECTION_PREFIXES;

const SECTIONS = Object.keys(SECTION_PREFIXES) as readonly Section[];

/** Splits a document into its resources, sorted by name. */
export function splitDocument(source: SourceDocument): readonly Resource[] {
    const sectionResources = SECTIONS.flatMap(section =>
        Object.entries(source[section] ?? {}).map(([name, entry]) =>
            createResource(SECTION_PREFIXES[section] + name, entry)
        )
    );
    return [createResource(MESH_RESOURCE, source.mesh), ...sectionResources].sort((a, b) => a.name < b.name ? -1 : 1);
}

/** Finds the section of a resource name; undefined for the mesh-wide settings. */
export function findSection(resourceName: string): Section | undefined {
    return SECTIONS.find(section => resourceName.startsWith(SECTION_PREFIXES[section]));
}

/** Joins resources to the document that they were split from. */
export function joinResources(resources: Iterable<Resource>): SourceDocument {
    const joined: Record<string, unknown> & Record<Section, Record<string, unknown>> = {
        mesh: undefined,
        services: {},
        classes: {},
        routes: {},
        resources: {},
    };
    for (const resource of resources) {
        const entry: unknown = JSON.parse(resource.content);
        const section = findSection(resource.name);
        if (section === undefined) {
            joined[MESH_RESOURCE] = entry;
            continue;
        }
        joined[section][resource.name.slice(SECTION_PREFIXES[section].length)] = entry;
    }
    return joined as unknown as SourceDocument;
}
