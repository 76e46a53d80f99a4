import { describeLoadError, loadSnapshot } from "../../coordination/acceptance/index.js";
import { computeBackoffDelay, getNewestSnapshot, getReceivedVersion } from "../../coordination/distribution/index.js";
import type { StoredObject } from "../../state/store/index.js";
import { HEAD_KEY, parseHead } from "../../state/versions/index.js";
import { sleepFor } from "../timers/index.js";
import type { InstrumentedStore } from "./InstrumentedStore.js";
import { TICK_MS } from "./MeshConstants.js";
import type { MeshComponent, MeshContext } from "./MeshContext.js";
import type { VersionExchange } from "./VersionExchange.js";

/** Maximum wait of one watch call. */
const WATCH_WAIT_MS = 20_000;
/** A daemon that receives nothing from other daemons for this long reads the store itself. */
const ISOLATION_TIMEOUT_MS = 10_000;
/** Isolated members spread their reads over this time per member of the failure domain: at most 50 reads per second. */
const READ_WINDOW_PER_MEMBER_MS = 20;

/** Reads new versions from the store while this daemon is a region relay or isolated. */
export class HeadWatcher implements MeshComponent {
    readonly handlers = {};
    private watch: AbortController | undefined;
    private objectVersion: number | undefined;
    private failures = 0;

    constructor(
        private readonly context: MeshContext,
        private readonly store: InstrumentedStore,
        private readonly versions: VersionExchange,
    ) {}

    tick(): void {
        if (!this.context.getPosition().isRegionRelay) {
            this.watch?.abort();
        }
    }

    stop(): void {
        this.watch?.abort();
    }

    /** Watches the head until the node stops. */
    async run(): Promise<void> {
        while (!this.context.isStopped()) {
            if (this.context.getPosition().isRegionRelay) {
                await this.watchHead();
            }
            else if (this.isIsolated()) {
                await this.readWhileIsolated();
            }
            else {
                this.objectVersion = undefined;
                await sleepFor(this.context.timers, TICK_MS);
            }
        }
    }

    private async watchHead(): Promise<void> {
        this.watch = new AbortController();
        const { signal } = this.watch;
        const result = this.objectVersion === undefined
            ? await this.store.port.get(HEAD_KEY, signal)
            : await this.store.port.watch(HEAD_KEY, this.objectVersion, WATCH_WAIT_MS, signal);
        if (signal.aborted) {
            return;
        }
        const isLoaded = await result.caseOf({
            Left: () => Promise.resolve(false),
            Right: stored => this.handleHead(stored),
        });
        await this.applyBackoff(isLoaded);
    }

    private async applyBackoff(isSuccess: boolean): Promise<void> {
        this.failures = isSuccess ? 0 : this.failures + 1;
        if (!isSuccess) {
            this.objectVersion = undefined;
            await sleepFor(
                this.context.timers,
                TICK_MS + computeBackoffDelay(this.failures, this.context.options.random),
            );
        }
    }

    private async handleHead(stored: StoredObject | undefined): Promise<boolean> {
        if (stored === undefined) {
            this.objectVersion ??= 0;
            return true;
        }
        const isKnown = this.objectVersion !== undefined;
        this.objectVersion = stored.version;
        const { batchMs } = this.context.getIntervals();
        if (isKnown && batchMs > 0) {
            await sleepFor(this.context.timers, batchMs);
            return (await this.store.readHead()).caseOf({
                Left: () => Promise.resolve(false),
                Right: newest => this.loadVersion(newest),
            });
        }
        return this.loadVersion(stored);
    }

    private async loadVersion(stored: StoredObject | undefined): Promise<boolean> {
        const head = stored === undefined ? undefined : parseHead(stored.value);
        if (stored === undefined || head === undefined) {
            this.context.options.log.warn({}, "mesh: store head is missing or malformed.");
            return false;
        }
        this.objectVersion = stored.version;
        const versionState = this.versions.getVersionState();
        if (head.version <= getReceivedVersion(versionState)) {
            this.versions.confirmFromStore(head);
            return true;
        }
        const loaded = await loadSnapshot(
            this.store.port,
            head,
            getNewestSnapshot(versionState),
            this.context.options.meshKey,
        );
        loaded
            .ifRight(snapshot => this.versions.acceptFromStore(snapshot))
            .ifLeft(error =>
                this.context.options.log.warn(
                    { error: describeLoadError(error), version: head.version },
                    "mesh: version not loaded.",
                )
            );
        return loaded.isRight();
    }

    private isIsolated(): boolean {
        const now = this.context.now();
        return this.context.links.list().every(link => now - link.lastReceivedAt > ISOLATION_TIMEOUT_MS)
            && now > ISOLATION_TIMEOUT_MS;
    }

    private async readWhileIsolated(): Promise<void> {
        const members = this.context.table.listRankedIds(this.context.options.failureDomain).length;
        const windowMs = Math.max(TICK_MS, members * READ_WINDOW_PER_MEMBER_MS);
        await sleepFor(this.context.timers, this.context.options.random() * windowMs);
        if (this.isIsolated()) {
            const result = await this.store.readHead();
            await result.caseOf({ Left: () => Promise.resolve(false), Right: stored => this.loadVersion(stored) });
            await sleepFor(this.context.timers, Math.max(ISOLATION_TIMEOUT_MS, windowMs));
        }
    }
}
