/** Reads the control interface of the demo's daemons. */
import { request } from "undici";
import type { MeshDocument } from "../src/state/document/index.js";
import type { Member } from "../src/state/members/index.js";
import type { DaemonStatus } from "../src/transport/daemon/index.js";
import type { DemoNode } from "./DemoLayout.js";

const CALL_TIMEOUT_MS = 2000;

export class DaemonClient {
    constructor(private readonly token: string) {}

    readStatus(node: DemoNode): Promise<DaemonStatus | undefined> {
        return this.#read(node, "status?scope=daemon");
    }

    readMembers(node: DemoNode): Promise<readonly Member[] | undefined> {
        return this.#read(node, "members");
    }

    /** Lists the routes whose service is served by no member that the daemon knows. */
    async listDanglingRoutes(node: DemoNode, { routes }: MeshDocument): Promise<readonly string[]> {
        const members = await this.readMembers(node) ?? [];
        const services = new Set(members.map(({ server }) => server?.service));
        return Object.values(routes).filter(({ service }) => !services.has(service))
            .map(({ name, service }) => `${node.id}: route ${name} points at ${service}`);
    }

    async isReady(node: DemoNode): Promise<boolean> {
        const health = await this.#read<{ ready: boolean; }>(node, "health");
        return health?.ready === true;
    }

    /** Returns undefined when the daemon does not answer in time. */
    async #read<T>(node: DemoNode, call: string): Promise<T | undefined> {
        try {
            const response = await request(`http://127.0.0.1:${node.controlPort}/v1/${call}`, {
                headers: { authorization: `Bearer ${this.token}` },
                signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
            });
            return await response.body.json() as T;
        }
        catch {
            return undefined;
        }
    }
}
