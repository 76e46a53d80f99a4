import type { SourceDocument } from "../../src/state/document/index.js";

export const MESH_KEY = "mesh key of the measurements";
export const STORE_REGION = "erie";

/** Failure domains and their regions; one process hosts each. */
export const DOMAINS = [
    { failureDomain: "erie-a", region: "erie" },
    { failureDomain: "erie-b", region: "erie" },
    { failureDomain: "superior-a", region: "superior" },
    { failureDomain: "superior-b", region: "superior" },
] as const;

export const SERVICES = Array.from({ length: 13 }, (_, index) => `service-${index + 1}`);

/** Creates a document of about 20 KB; `revision` changes one route. */
export function createMeasuredDocument(weighing: string, revision: number): SourceDocument {
    const domains = (region: string): string[] =>
        DOMAINS.filter(domain => domain.region === region).map(domain => domain.failureDomain);
    const services = SERVICES.map(name => [name, { connections: 120, servers: { "erie-a": 1 }, slots: 12 }]);
    const routes = SERVICES.flatMap((service, index) =>
        Array.from({ length: 6 }, (_, part) => [`${service}-route-${part}`, {
            class: "family",
            match: { path: `/${service}/part-${part}` },
            repeatable: true,
            service,
            timeout: index === 0 && part === 0 ? `${1_000 + revision}ms` : "2s",
        }])
    );
    return {
        classes: { family: { weight: 1 } },
        mesh: {
            name: "lakeshore",
            regions: { erie: { failureDomains: domains("erie") }, superior: { failureDomains: domains("superior") } },
            storeRegion: STORE_REGION,
            weighing,
        },
        resources: {},
        routes: Object.fromEntries(routes) as object,
        services: Object.fromEntries(services) as object,
    } as unknown as SourceDocument;
}
