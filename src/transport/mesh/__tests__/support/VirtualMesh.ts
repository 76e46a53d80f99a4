import { decodeMessage } from "../../../../protocol/peer/index.js";
import { splitDocument } from "../../../../state/document/index.js";
import type { SourceDocument } from "../../../../state/document/index.js";
import { MemberState } from "../../../../state/members/index.js";
import { createSeededRandom } from "../../../../state/shared/index.js";
import {
    buildParts,
    computeDelta,
    computeRootHash,
    createManifest,
    formatManifestKey,
    formatPartKey,
    HEAD_KEY,
    mapResourcesByName,
} from "../../../../state/versions/index.js";
import type { Manifest, Resource } from "../../../../state/versions/index.js";
import { startMeshNode } from "../../index.js";
import type { DelayLink, MeshNode } from "../../index.js";
import { FakeStore } from "./FakeStore.js";
import { MemoryNetwork } from "./MemoryNetwork.js";
import { VirtualTime } from "./VirtualTime.js";

export const MESH_KEY = "mesh key of the tests";
const START_TIME_MS = 1_700_000_000_000;

/** Region of each failure domain. */
export const REGIONS: Readonly<Record<string, string>> = {
    "erie-a": "erie",
    "erie-b": "erie",
    "superior-a": "superior",
    "superior-b": "superior",
};

interface RunningDaemon {
    readonly node: MeshNode;
    readonly domain: string;
}

/** Deterministic mesh of daemons on an in-memory network, store and clock. */
export class VirtualMesh {
    readonly time = new VirtualTime();
    readonly network = new MemoryNetwork(this.time);
    readonly store = new FakeStore(this.time);
    readonly nodes = new Map<string, RunningDaemon>();
    /** Log lines of all daemons, in chronological order. */
    readonly logLines: string[] = [];
    delayLink: DelayLink = () => 0;
    /** Offset of each daemon's clock from virtual time, in milliseconds. */
    readonly clockOffsets = new Map<string, number>();
    private accepted: { manifest: Manifest; key: string; resources: ReadonlyMap<string, Resource>; } | undefined;
    /** Highest version that each daemon id has had in force, across restarts. */
    private readonly highestInForce = new Map<string, number>();
    readonly regressions: string[] = [];
    private startedCount = 0;

    /**
     * Starts the daemon `<domain>-<number>`, which joins through the first running daemon unless `hasSeed` is
     * false.
     */
    async start(domain: string, number: number, service = "status-desk", hasSeed = true): Promise<MeshNode> {
        const id = `${domain}-${number}`;
        const [seed] = [...this.nodes.values()];
        const log = (fields: object, message: string): void => {
            this.logLines.push(`${this.formatTime()} ${message}${formatFields(fields)} | ${id}`);
        };
        const node = await startMeshNode({
            address: "127.0.0.1",
            delayLink: (from, to, bytes) => this.delayLink(from, to, bytes),
            failureDomain: domain,
            id,
            log: { debug: () => undefined, info: log, warn: log },
            meshKey: MESH_KEY,
            network: this.network.createEndpoint(),
            now: () => START_TIME_MS + this.time.now + (this.clockOffsets.get(id) ?? 0),
            peerPort: 0,
            random: createSeededRandom(++this.startedCount),
            region: REGIONS[domain] ?? "erie",
            relayPort: 1,
            seeds: seed === undefined || !hasSeed ? [] : [`127.0.0.1:${seed.node.peerPort}`],
            store: this.store.createClient(REGIONS[domain] ?? "erie"),
            timers: this.time,
        });
        node.announceServer(
            { address: "127.0.0.1", connections: 120, port: 8_080, service, slots: 12 },
            MemberState.Live,
        );
        this.nodes.set(id, { domain, node });
        this.trackRegressions(id, node);
        return node;
    }

    /** Adds a line to the log that marks a step of the test. */
    logNote(text: string): void {
        this.logLines.push(`${this.formatTime()} --- ${text}`);
    }

    /** Logs sent messages of the given kinds. */
    traceMessages(kinds: readonly string[]): void {
        this.network.alterFrame = frame => {
            const message = decodeMessage(frame);
            if (kinds.includes(message.kind)) {
                const version = message.kind === "update"
                    ? message.manifest.version
                    : (message as { version?: number; }).version;
                this.logLines.push(
                    `${this.formatTime()} sent ${message.kind} of version ${version ?? 0}, ${frame.length} bytes | 1`,
                );
            }
            return [{ delayMs: 0, frame }];
        };
    }

    /** Formats the log, with equal lines of the same time joined. */
    formatLog(): string {
        const groups = new Map<string, string[]>();
        for (const line of this.logLines) {
            const [text = "", id] = line.split(" | ");
            groups.set(text, [...(groups.get(text) ?? []), ...(id === undefined ? [] : [id])]);
        }
        return [...groups].map(([text, ids]) => `${text}${formatIds(ids)}\n`).join("");
    }

    private formatTime(): string {
        return String(Math.round(this.time.now)).padStart(6);
    }

    /** Starts `count` daemons in each failure domain. */
    async startAll(count: number, domains: readonly string[] = Object.keys(REGIONS)): Promise<void> {
        for (let number = 1; number <= count; number++) {
            for (const domain of domains) {
                await this.start(domain, number);
            }
        }
    }

    /** Records a regression when a daemon's version in force decreases, which must never happen. */
    private trackRegressions(id: string, node: MeshNode): void {
        node.subscribeView(view => {
            const version = view.configuration?.version ?? 0;
            const highest = this.highestInForce.get(id) ?? 0;
            if (version < highest && version !== 0) {
                this.regressions.push(`${id} went from version ${highest} to ${version}`);
            }
            this.highestInForce.set(id, Math.max(version, highest));
        });
    }

    get(id: string): MeshNode {
        const running = this.nodes.get(id);
        if (running === undefined) {
            throw new Error(`daemon ${id} is not running`);
        }
        return running.node;
    }

    list(domain?: string): readonly MeshNode[] {
        return [...this.nodes.values()].filter(entry => domain === undefined || entry.domain === domain).map(entry =>
            entry.node
        );
    }

    /** Stops a daemon gracefully. */
    async stop(id: string): Promise<void> {
        const node = this.get(id);
        this.nodes.delete(id);
        await node.stop();
    }

    async crash(id: string): Promise<void> {
        const node = this.get(id);
        this.nodes.delete(id);
        await node.closeAbruptly();
    }

    /** Accepts a new version, as an operator's client does, and returns its number. */
    accept(document: SourceDocument): number {
        const resources = mapResourcesByName(splitDocument(document));
        const parts = buildParts(resources.values());
        const previous = this.accepted;
        const manifest = createManifest({
            author: "ada",
            message: "test",
            parts: parts.map(part => part.hash),
            previous: previous?.key ?? null,
            root: computeRootHash(resources),
            time: START_TIME_MS,
            version: (previous?.manifest.version ?? 0) + 1,
            ...(previous === undefined ? {} : { delta: computeDelta(previous.resources, resources) }),
        }, MESH_KEY);
        const text = JSON.stringify(manifest);
        const key = formatManifestKey(text);
        parts.forEach(part => this.store.write(formatPartKey(part.hash), part.text));
        this.store.write(key, text);
        this.store.write(HEAD_KEY, JSON.stringify({ manifest: key, root: manifest.root, version: manifest.version }));
        this.accepted = { key, manifest, resources };
        return manifest.version;
    }

    /** Lists the distinct versions in force on running daemons, in ascending order. */
    listVersions(domain?: string): readonly number[] {
        return [...new Set(this.list(domain).map(node => node.readView().configuration?.version ?? 0))].sort((a, b) =>
            a - b
        );
    }

    isInForceEverywhere(version: number): boolean {
        return this.listVersions().every(held => held === version);
    }
}

function formatIds(ids: readonly string[]): string {
    if (ids.every(id => id === "1")) {
        return ids.length === 0 ? "" : `, ${ids.length} times`;
    }
    return ` on ${ids.toSorted().join(" ")}`;
}

function formatFields(fields: object): string {
    const text = JSON.stringify(fields);
    return text === "{}" ? "" : ` ${text.replace(/"root":"[0-9a-f]+",?/, "")}`;
}

/** Starts a mesh and waits until version 1 is in force on every daemon. */
export async function startConverged(count: number, domains?: readonly string[]): Promise<VirtualMesh> {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("1"));
    await mesh.startAll(count, domains);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 20_000);
    await mesh.time.advance(10_000);
    return mesh;
}

/** Creates a document with one service and one route for each name. */
export function createDocument(note: string, services: readonly string[] = ["status-desk"]): SourceDocument {
    return {
        classes: { family: { weight: 1 } },
        mesh: {
            name: "lakeshore",
            regions: {
                erie: { failureDomains: ["erie-a", "erie-b"] },
                superior: { failureDomains: ["superior-a", "superior-b"] },
            },
            storeRegion: "erie",
            weighing: "convergence",
        },
        resources: { note: { contentType: "text/plain", text: note } },
        routes: Object.fromEntries(
            services.map(
                service => [service, { class: "family", match: { path: `/${service}` }, repeatable: true, service }],
            ),
        ),
        services: Object.fromEntries(services.map(service => [service, { servers: { "erie-a": 1 }, slots: 12 }])),
    } as unknown as SourceDocument;
}
