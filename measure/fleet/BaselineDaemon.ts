import { loadSnapshot } from "../../src/coordination/acceptance/index.js";
import type { StorePort } from "../../src/state/store/index.js";
import { HEAD_KEY, parseHead } from "../../src/state/versions/index.js";
import { sleepFor } from "./LinkModel.js";

const WATCH_WAIT_MS = 20_000;
const RETRY_MS = 1_000;

/** The simplest baseline: a daemon that watches the store and reads every version in full. */
export class BaselineDaemon {
    version = 0;
    private objectVersion = 0;
    private isStopped = false;

    constructor(
        private readonly store: StorePort,
        private readonly meshKey: string,
        private readonly onInForce: (version: number) => void,
    ) {}

    async run(): Promise<void> {
        while (!this.isStopped) {
            const isDone = await this.watchOnce();
            await sleepFor(isDone ? 0 : RETRY_MS);
        }
    }

    stop(): void {
        this.isStopped = true;
    }

    private async watchOnce(): Promise<boolean> {
        const found = await this.store.watch(HEAD_KEY, this.objectVersion, WATCH_WAIT_MS);
        const stored = found.orDefault(undefined);
        const head = stored === undefined ? undefined : parseHead(stored.value);
        if (stored === undefined || head === undefined) {
            return found.isRight();
        }
        const loaded = await loadSnapshot(this.store, head, undefined, this.meshKey);
        loaded.ifRight(({ manifest }) => {
            this.objectVersion = stored.version;
            this.version = manifest.version;
            this.onInForce(manifest.version);
        });
        return loaded.isRight();
    }
}
