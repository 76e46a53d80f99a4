/** Reads the control interface of the demo's daemons. */
import { request } from "undici";
import type { MeshDocument } from "../src/state/document/index.js";
import type { Member } from "../src/state/members/index.js";
import type { DaemonStatus } from "../src/transport/daemon/index.js";
import type { DemoNode } from "./DemoLayout.js";

const CALL_TIMEOUT_MS = 2000;

export class DaemonClient {
    constructor(private readonly token: string) {}

    readStatus(place: DemoNode): Promise<DaemonStatus | undefined> {
        return this.#read(place, "status?scope=daemon");
    }

    readMembers(place: DemoNode): Promise<readonly Member[] | undefined> {
        return this.#read(place, "members");
    }

    /** Lists the routes whose service has no member that the daemon ever learnt of. */
    async listDanglingRoutes(place: DemoNode, { routes }: MeshDocument): Promise<readonly string[]> {
        const members = await this.readMembers(place) ?? [];
        const services = new Set(members.map(({ server }) => server?.service));
        return Object.values(routes).filter(({ service }) => !services.has(service))
            .map(({ name, service }) => `${place.id}: route ${name} points at ${service}`);
    }

    async isReady(place: DemoNode): Promise<boolean> {
        const health = await this.#read<{ ready: boolean; }>(place, "health");
        return health?.ready === true;
    }

    /** Returns undefined when the daemon does not answer. */
    async #read<T>(place: DemoNode, call: string): Promise<T | undefined> {
        try {
            const response = await request(`http://127.0.0.1:${place.controlPort}/v1/${call}`, {
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
