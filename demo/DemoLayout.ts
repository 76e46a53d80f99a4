/** Plans the processes of the demo: one daemon and one backend server for each planned server of a document. */
import type { MeshDocument } from "../src/state/document/index.js";

const PORTS_PER_NODE = 5;

/** One VM of the demo: a daemon and its local backend server. */
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

/** A node before its ports are assigned. */
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

/** Plans the nodes of a document and assigns their ports; `choosePorts` returns `count` free ports. */
export async function planLayout(
    document: MeshDocument,
    choosePorts: (count: number) => Promise<readonly number[]>,
): Promise<DemoLayout> {
    const nodes = listNodes(document);
    const ports = (await choosePorts(nodes.length * PORTS_PER_NODE + 1)).values();
    const takePort = (): number => ports.next().value ?? 0;
    return {
        document,
        nodes: nodes.map(node => ({
            ...node,
            controlPort: takePort(),
            peerPort: takePort(),
            relayPort: takePort(),
            requestPort: takePort(),
            serverPort: takePort(),
        })),
        storePort: takePort(),
    };
}
