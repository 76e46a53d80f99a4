/** Child process of the memory measurement: loads modules or builds a structure, then prints its own memory use. */
import type { Member } from "../../src/state/members/index.js";

/** Memory of a process after a garbage collection, in bytes. */
export interface MemoryReport {
    readonly residentBytes: number;
    readonly heapBytes: number;
}

const FAILURE_DOMAINS = 13;
const REGIONS = 4;
const SERVICES = 980;
const ROUTES_PER_SERVICE = 3;

function createMember(index: number): Member {
    const domain = index % FAILURE_DOMAINS;
    // Records that arrive over the network share no strings, so each is parsed from its own text.
    return JSON.parse(JSON.stringify({
        address: `10.${index >> 16}.${(index >> 8) & 255}.${index & 255}`,
        failureDomain: `region-${domain % REGIONS}-${domain}`,
        id: `region-${domain % REGIONS}-${domain}-daemon-${index}`,
        incarnation: 1_700_000_000_000 + index,
        peerPort: 7402,
        region: `region-${domain % REGIONS}`,
        relayPort: 7401,
        revision: 2,
        server: {
            address: "127.0.0.1",
            connections: 120,
            port: 8080,
            service: `service-${index % SERVICES}`,
            slots: 12,
        },
        state: "live",
    })) as Member;
}

async function buildMembers(count: number): Promise<unknown> {
    const { MemberTable } = await import("../../src/state/members/index.js");
    const table = new MemberTable();
    for (let index = 0; index < count; index++) {
        table.merge(createMember(index));
    }
    return table;
}

async function buildDocument(services: number): Promise<unknown> {
    const { mapResourcesByName } = await import("../../src/state/versions/index.js");
    const { resolveResources, splitDocument } = await import("../../src/state/document/index.js");
    const names = Array.from({ length: services }, (_, index) => `service-${index}`);
    const routes = names.flatMap(service =>
        Array.from({ length: ROUTES_PER_SERVICE }, (_, part) => [`${service}-route-${part}`, {
            class: "all",
            match: { path: `/${service}/part-${part}` },
            repeatable: true,
            service,
            timeout: "2s",
        }])
    );
    const source = {
        classes: { all: { weight: 1 } },
        mesh: { name: "target", regions: { one: { failureDomains: ["a"] } }, storeRegion: "one", weighing: "balanced" },
        resources: {},
        routes: Object.fromEntries(routes) as object,
        services: Object.fromEntries(names.map(name => [name, { connections: 120, servers: { a: 18 }, slots: 12 }])),
    };
    const resources = splitDocument(source as unknown as Parameters<typeof splitDocument>[0]);
    return { document: resolveResources(resources), resources: mapResourcesByName(resources) };
}

/** Loads the named modules or builds the named structure; `size` is its number of members or services. */
async function loadSubject(name: string, size: number): Promise<unknown> {
    switch (name) {
        case "request-path":
            return import("../../src/transport/proxy/index.js");
        case "request-path-and-control":
            return Promise.all([
                import("../../src/transport/proxy/index.js"),
                import("../../src/transport/mesh/index.js"),
                import("../../src/transport/store/index.js"),
            ]);
        case "daemon":
            return import("../../src/transport/daemon/index.js");
        case "members":
            return buildMembers(size);
        case "document":
            return buildDocument(size);
        default:
            return undefined;
    }
}

// Referenced in the report below, so that it is not collected before the memory is read.
const subject = await loadSubject(process.argv[2] ?? "", Number(process.argv[3] ?? 0));
globalThis.gc?.();
await new Promise(resolve => setTimeout(resolve, 300));
globalThis.gc?.();
const { heapUsed, rss } = process.memoryUsage();
const report: MemoryReport = { heapBytes: heapUsed, residentBytes: rss };
process.stdout.write(JSON.stringify({ ...report, isHeld: subject !== undefined }));
