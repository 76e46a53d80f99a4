/** Plans the processes of the demo: one daemon and one backend server for each planned server of a document. */
import type { MeshDocument } from "../src/state/document/index.js";

const PORTS_PER_NODE = 5;

/** One VM of the demo: a daemon and the backend server beside it. */
export interface DemoNode {
    /** Id of the daemon. */
    readonly id: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly service: string;
    readonly slots: number;
    readonly connections: number;
    readonly requestPort: number;
    readonly relayPort: number;
    readonly peerPort: number;
    readonly controlPort: number;
    readonly serverPort: number;
}

export interface DemoLayout {
    readonly document: MeshDocument;
    readonly nodes: readonly DemoNode[];
    readonly storePort: number;
}

/** The place of a server before its ports are chosen. */
type NodeWithoutPorts = Omit<DemoNode, "requestPort" | "relayPort" | "peerPort" | "controlPort" | "serverPort">;

function listNodes({ mesh, services }: MeshDocument): readonly NodeWithoutPorts[] {
    return Object.entries(mesh.regions).flatMap(([region, { failureDomains }]) =>
        failureDomains.flatMap(failureDomain => {
            const inDomain = Object.values(services).flatMap(service =>
                Array.from({ length: service.servers[failureDomain] ?? 0 }, () => service)
            );
            return inDomain.map((service, index) => ({
                connections: service.connections,
                failureDomain,
                id: `${failureDomain}-${index + 1}`,
                region,
                service: service.name,
                slots: service.slots,
            }));
        })
    );
}

/** Plans a layout; `choosePorts` returns so many free ports. */
export async function planLayout(
    document: MeshDocument,
    choosePorts: (count: number) => Promise<readonly number[]>,
): Promise<DemoLayout> {
    const places = listNodes(document);
    const ports = (await choosePorts(places.length * PORTS_PER_NODE + 1)).values();
    const takePort = (): number => ports.next().value ?? 0;
    return {
        document,
        nodes: places.map(place => ({
            ...place,
            controlPort: takePort(),
            peerPort: takePort(),
            relayPort: takePort(),
            requestPort: takePort(),
            serverPort: takePort(),
        })),
        storePort: takePort(),
    };
}
