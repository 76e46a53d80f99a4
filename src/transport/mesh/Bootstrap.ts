import type { Candidate } from "../../protocol/peer/index.js";
import type { InstrumentedStore } from "./InstrumentedStore.js";
import type { MeshComponent, MeshContext } from "./MeshContext.js";

const KEY_PREFIX = "bootstrap/";
/** Minimum time between two writes of the object of the daemon's own failure domain. */
const WRITE_INTERVAL_MS = 60_000;
const ADDRESS_LIMIT = 6;
/** Time for which addresses read from the store are cached. */
const ADDRESS_CACHE_MS = 5_000;

/** Provides the addresses by which new daemons join: configured seeds, and store objects written by domain relays. */
export class Bootstrap implements MeshComponent {
    readonly handlers = {};
    private readonly seeds: readonly Candidate[];
    private stored: readonly Candidate[] = [];
    private readAt = -Infinity;
    private nextWriteAt = 0;

    constructor(private readonly context: MeshContext, private readonly store: InstrumentedStore | undefined) {
        this.seeds = context.options.seeds.flatMap(parseSeed);
    }

    tick(): void {
        const now = this.context.now();
        if (this.store !== undefined && now >= this.nextWriteAt && this.context.getPosition().isDomainRelay) {
            this.nextWriteAt = now + WRITE_INTERVAL_MS;
            void this.updateStored(this.store);
        }
    }

    /** Lists the configured seeds without a store call. */
    listSeeds(): readonly Candidate[] {
        const own = this.context.getOwnRecord();
        return this.seeds.filter(entry => entry.address !== own.address || entry.peerPort !== own.peerPort);
    }

    /** Lists the seeds and the stored addresses of the own failure domain, or of a random one if it has none. */
    async listEntries(): Promise<readonly Candidate[]> {
        const now = this.context.now();
        if (this.store !== undefined && now - this.readAt > ADDRESS_CACHE_MS) {
            this.readAt = now;
            this.stored = await this.readStored(this.store);
        }
        const own = this.context.getOwnRecord();
        return [...this.seeds, ...this.stored]
            .filter(entry => entry.address !== own.address || entry.peerPort !== own.peerPort);
    }

    /**
     * Lists the seeds and the stored addresses of a random failure domain, which may belong to a separate part of
     * the mesh.
     */
    async listRemoteEntries(): Promise<readonly Candidate[]> {
        return [...this.listSeeds(), ...(this.store === undefined ? [] : await this.readAnyDomain(this.store))];
    }

    private async readStored(store: InstrumentedStore): Promise<readonly Candidate[]> {
        const { failureDomain } = this.context.options;
        const own = await this.readDomain(store, failureDomain) ?? await this.writeIfAbsent(store, failureDomain);
        return own.length > 0 ? own : this.readAnyDomain(store);
    }

    private async readAnyDomain(store: InstrumentedStore): Promise<readonly Candidate[]> {
        const listed = (await store.port.list(KEY_PREFIX)).orDefault([]);
        const other = listed[Math.floor(this.context.options.random() * listed.length)];
        return other === undefined ? [] : await this.readDomain(store, other.key.slice(KEY_PREFIX.length)) ?? [];
    }

    /**
     * Writes the own address if the failure domain has no object. Of daemons that start at the same
     * time one succeeds and the others join by it, so they do not all act as the first daemon.
     */
    private async writeIfAbsent(store: InstrumentedStore, domain: string): Promise<readonly Candidate[]> {
        const { address, peerPort } = this.context.getOwnRecord();
        const value = JSON.stringify({ addresses: [{ address, peerPort }] });
        const written = await store.port.put(`${KEY_PREFIX}${domain}`, value, { kind: "absent" });
        return written.isRight() ? [] : await this.readDomain(store, domain) ?? [];
    }

    /** Returns undefined if the store has no object for the failure domain. */
    private async readDomain(store: InstrumentedStore, domain: string): Promise<readonly Candidate[] | undefined> {
        const read = await store.port.get(`${KEY_PREFIX}${domain}`);
        const stored = read.orDefault(undefined);
        if (read.isRight() && stored === undefined) {
            return undefined;
        }
        const own = this.context.getOwnRecord();
        return parseAddresses(stored?.value ?? "")
            .filter(entry => entry.address !== own.address || entry.peerPort !== own.peerPort);
    }

    private async updateStored(store: InstrumentedStore): Promise<void> {
        const { failureDomain } = this.context.options;
        const key = `${KEY_PREFIX}${failureDomain}`;
        const value = JSON.stringify({ addresses: this.listAddresses(failureDomain) });
        const current = (await store.port.get(key)).orDefault(undefined);
        if (current?.value !== value) {
            const condition = current === undefined
                ? { kind: "absent" } as const
                : { kind: "version", version: current.version } as const;
            await store.port.put(key, value, condition);
        }
    }

    private listAddresses(domain: string): readonly Candidate[] {
        const { table } = this.context;
        return table.listRankedIds(domain)
            .slice(0, ADDRESS_LIMIT)
            .flatMap(id => table.get(id) ?? [])
            .map(({ address, peerPort }) => ({ address, peerPort }));
    }
}

function parseSeed(seed: string): readonly Candidate[] {
    const at = seed.lastIndexOf(":");
    const peerPort = Number(seed.slice(at + 1));
    const isValid = at > 0 && Number.isInteger(peerPort) && peerPort > 0;
    return isValid ? [{ address: seed.slice(0, at).replace(/^\[|\]$/g, ""), peerPort }] : [];
}

function parseAddresses(value: string): readonly Candidate[] {
    try {
        const raw = JSON.parse(value) as { readonly addresses?: unknown; };
        const addresses = Array.isArray(raw.addresses) ? raw.addresses as readonly Partial<Candidate>[] : [];
        return addresses.flatMap(({ address, peerPort }) =>
            typeof address === "string" && typeof peerPort === "number" ? [{ address, peerPort }] : []
        );
    }
    catch {
        return [];
    }
}
