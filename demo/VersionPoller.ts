import { setTimeout as wait } from "node:timers/promises";
import type { DaemonStatus } from "../src/transport/daemon/index.js";
import type { DaemonClient } from "./DaemonClient.js";
import type { DemoNode } from "./DemoLayout.js";
import type { ObservedVersion } from "./GuaranteeChecks.js";

const POLL_INTERVAL_MS = 200;

/** Polls the status of every daemon and keeps each in-force version that was seen. */
export class VersionPoller {
    readonly observed: ObservedVersion[] = [];
    readonly #latest = new Map<string, DaemonStatus>();
    /** Last status of each daemon process that was replaced by another. */
    readonly #ended: DaemonStatus[] = [];
    readonly #stopping = new AbortController();
    #task: Promise<void> | undefined;

    constructor(private readonly client: DaemonClient, private readonly places: readonly DemoNode[]) {}

    start(): void {
        this.#task = this.#poll();
    }

    async stop(): Promise<void> {
        this.#stopping.abort();
        await this.#task;
    }

    /** Last status of every daemon process that ran. */
    listLastStatuses(): readonly DaemonStatus[] {
        return [...this.#ended, ...this.#latest.values()];
    }

    /** Returns when the last daemon put `version` in force, or undefined when some have not by the deadline. */
    async awaitVersion(version: number, deadline: number): Promise<number | undefined> {
        while (Date.now() < deadline) {
            const inForce = this.places.map(({ id }) => this.#latest.get(id)?.inForce);
            if (inForce.every(status => status !== undefined && status.version >= version)) {
                return Math.max(...inForce.map(status => status?.since ?? 0));
            }
            await wait(POLL_INTERVAL_MS / 2);
        }
        return undefined;
    }

    async #poll(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await Promise.all(this.places.map(place => this.#pollNode(place)));
            await wait(POLL_INTERVAL_MS);
        }
    }

    async #pollNode(place: DemoNode): Promise<void> {
        const status = await this.client.readStatus(place);
        if (status !== undefined) {
            const before = this.#latest.get(place.id);
            if (before !== undefined && status.uptimeMs < before.uptimeMs) {
                this.#ended.push(before);
            }
            this.#latest.set(place.id, status);
            this.observed.push({ daemon: place.id, root: status.inForce?.root, version: status.inForce?.version });
        }
    }
}
