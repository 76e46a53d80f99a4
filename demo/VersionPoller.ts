import { setTimeout as wait } from "node:timers/promises";
import type { DaemonStatus } from "../src/transport/daemon/index.js";
import type { DaemonClient } from "./DaemonClient.js";
import type { DemoNode } from "./DemoLayout.js";
import type { ObservedVersion } from "./GuaranteeChecks.js";

const POLL_INTERVAL_MS = 200;

/** Polls the status of every daemon and records each version in force that it observes. */
export class VersionPoller {
    readonly observed: ObservedVersion[] = [];
    readonly #latest = new Map<string, DaemonStatus>();
    /** Last status of each daemon process that has since been restarted. */
    readonly #ended: DaemonStatus[] = [];
    readonly #stopping = new AbortController();
    #task: Promise<void> | undefined;

    constructor(private readonly client: DaemonClient, private readonly nodes: readonly DemoNode[]) {}

    start(): void {
        this.#task = this.#poll();
    }

    async stop(): Promise<void> {
        this.#stopping.abort();
        await this.#task;
    }

    /** Lists the last status of every daemon process, restarted ones included. */
    listLastStatuses(): readonly DaemonStatus[] {
        return [...this.#ended, ...this.#latest.values()];
    }

    /** Returns when the last daemon put `version` in force, or undefined if some have not by the deadline. */
    async awaitVersion(version: number, deadline: number): Promise<number | undefined> {
        while (Date.now() < deadline) {
            const inForce = this.nodes.map(({ id }) => this.#latest.get(id)?.inForce);
            if (inForce.every(status => status !== undefined && status.version >= version)) {
                return Math.max(...inForce.map(status => status?.since ?? 0));
            }
            await wait(POLL_INTERVAL_MS / 2);
        }
        return undefined;
    }

    async #poll(): Promise<void> {
        while (!this.#stopping.signal.aborted) {
            await Promise.all(this.nodes.map(node => this.#pollNode(node)));
            await wait(POLL_INTERVAL_MS);
        }
    }

    async #pollNode(node: DemoNode): Promise<void> {
        const status = await this.client.readStatus(node);
        if (status !== undefined) {
            const previous = this.#latest.get(node.id);
            if (previous !== undefined && status.uptimeMs < previous.uptimeMs) {
                this.#ended.push(previous);
            }
            this.#latest.set(node.id, status);
            this.observed.push({ daemon: node.id, root: status.inForce?.root, version: status.inForce?.version });
        }
    }
}
