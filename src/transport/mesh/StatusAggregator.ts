import { EMPTY_SUMMARY, mergeSummaries, withDomainCount } from "../../coordination/summary/index.js";
import type { MeshSummary, RegionStatus } from "../../coordination/summary/index.js";
import type { MessageOf } from "../../protocol/peer/index.js";
import type { InstrumentedStore } from "./InstrumentedStore.js";
import type { Link } from "./Link.js";
import { REQUEST_TIMEOUT_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext, MessageHandlers } from "./MeshContext.js";
import { PendingRequests } from "./PendingRequests.js";

/** Minimum time between two writes of `status/<region>`. */
const WRITE_INTERVAL_MS = 2_000;

/** Aggregates the state of the subtree of this daemon, and requests the state of the mesh from its parent. */
export class StatusAggregator implements MeshComponent {
    readonly handlers: MessageHandlers = {
        statusAnswer: message => this.requests.resolve(message.request, message.summary),
        statusRequest: (message, link) => void this.handleRequest(message, link),
        summary: (message, link) => this.handleSummary(message, link),
    };
    private readonly requests: PendingRequests<MeshSummary | undefined>;
    private lastSentAt = 0;
    private lastWriteAt = 0;
    private lastWrittenValue = "";
    private objectVersion: number | undefined;
    private isWriting = false;

    constructor(
        private readonly context: MeshContext,
        private readonly store: InstrumentedStore | undefined,
        private readonly summarizeOwnState: () => MeshSummary,
        private readonly describeRegion: (total: MeshSummary) => RegionStatus,
    ) {
        this.requests = new PendingRequests(context.timers, REQUEST_TIMEOUT_MS);
    }

    tick(): void {
        const now = this.context.now();
        if (now - this.lastSentAt >= this.context.getIntervals().summaryMs) {
            this.lastSentAt = now;
            this.sendSummary();
        }
        if (this.isRoot() && now - this.lastWriteAt >= WRITE_INTERVAL_MS && !this.isWriting) {
            this.lastWriteAt = now;
            this.isWriting = true;
            void this.writeStatus().finally(() => {
                this.isWriting = false;
            });
        }
    }

    onLinkRemoved(link: Link): void {
        this.requests.cancel(link);
    }

    /** Returns the summary of the whole mesh, or undefined if no region relay answers. */
    async readMeshSummary(): Promise<MeshSummary | undefined> {
        const parent = this.context.links.getParent();
        if (parent === undefined || this.isRoot()) {
            return this.sumMesh();
        }
        return this.requests.request(parent, request => parent.send({ kind: "statusRequest", request }));
    }

    private isRoot(): boolean {
        return this.context.getPosition().isRegionRelay;
    }

    private sendSummary(): void {
        const subtree = this.sumSubtree();
        const parent = this.context.links.getParent();
        const receivers = parent === undefined || this.isRoot() ? this.context.links.listByRelation("relay") : [parent];
        receivers.forEach(link => link.send({ kind: "summary", summary: subtree }));
    }

    /** Merges the own state with the summaries of the connected children. */
    private sumSubtree(): MeshSummary {
        const children = this.context.links.listByRelation("child").map(link => link.summary ?? EMPTY_SUMMARY);
        const others = children.filter(summary => summary.failureDomains !== undefined);
        const ownDomain = mergeSummaries([
            this.summarizeOwnState(),
            ...children.filter(summary => summary.failureDomains === undefined),
        ]);
        // Only domain relays add the name of the failure domain, which keeps the summaries below them small.
        const counted = this.context.getPosition().isDomainRelay
            ? withDomainCount(ownDomain, this.context.options.failureDomain)
            : ownDomain;
        return mergeSummaries([counted, ...others]);
    }

    private sumMesh(): MeshSummary {
        const others = this.context.links.listByRelation("relay").map(link => link.summary ?? EMPTY_SUMMARY);
        return mergeSummaries([this.sumSubtree(), ...others]);
    }

    private handleSummary(message: MessageOf<"summary">, link: Link): void {
        link.summary = message.summary;
    }

    private async handleRequest(message: MessageOf<"statusRequest">, link: Link): Promise<void> {
        link.send({ kind: "statusAnswer", request: message.request, summary: await this.readMeshSummary() });
    }

    private async writeStatus(): Promise<void> {
        const value = JSON.stringify(this.describeRegion(this.sumMesh()));
        if (this.store === undefined || value === this.lastWrittenValue) {
            return;
        }
        const key = `status/${this.context.options.region}`;
        if (this.objectVersion === undefined) {
            const held = await this.store.port.get(key);
            this.objectVersion = held.map(stored => stored?.version).orDefault(undefined);
        }
        const condition = this.objectVersion === undefined
            ? { kind: "absent" } as const
            : { kind: "version", version: this.objectVersion } as const;
        const result = await this.store.port.put(key, value, condition);
        this.objectVersion = result.caseOf<number | undefined>({ Left: () => undefined, Right: version => version });
        this.lastWrittenValue = result.isRight() ? value : "";
    }
}
