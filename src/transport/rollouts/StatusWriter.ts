/** Writes the status of an order, on the condition that nobody has changed the order since. */
import type { RolloutOrder, RolloutState } from "../../coordination/rollouts/index.js";
import type { RolloutRecord, RolloutStorePort, StoreError } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { WRITE_INTERVAL_MS } from "./RolloutConstants.js";

export interface StatusWriterOptions {
    readonly store: Pick<RolloutStorePort, "readRollout" | "writeRolloutStatus">;
    readonly log: PartLogger;
    readonly now: () => number;
    onRecord(record: RolloutRecord): void;
}

export class StatusWriter {
    readonly #options: StatusWriterOptions;
    /** Names of the objects that aren't named after their service. */
    readonly #names = new Map<string, string>();
    readonly #writing = new Set<string>();
    readonly #triedAt = new Map<string, number>();

    constructor(options: StatusWriterOptions) {
        this.#options = options;
    }

    recordName(service: string, name: string): void {
        if (service !== name) {
            this.#names.set(service, name);
        }
    }

    /** Writes the status. What is stored then is adopted, whoever has written it. */
    async write({ revision, service, targetVersion }: RolloutOrder, state: RolloutState): Promise<void> {
        const { log, now, store } = this.#options;
        const triedAt = this.#triedAt.get(service) ?? -Infinity;
        if (this.#writing.has(service) || now() - triedAt < WRITE_INTERVAL_MS) {
            return;
        }
        this.#writing.add(service);
        this.#triedAt.set(service, now());
        const name = this.#names.get(service) ?? service;
        try {
            const result = await store.writeRolloutStatus(name, revision, { state, targetVersion });
            const stored = result.isRight() ? result.extract() as RolloutRecord | undefined : undefined;
            if (stored === undefined) {
                const detail = result.isLeft()
                    ? (result.extract() as StoreError).detail
                    : "the stored order can't be read";
                log.warn(`the status of ${service} may not be written: ${detail}.`, { revision, service, state });
                await this.#readStored(service, name);
                return;
            }
            const isOwn = stored.status?.state === state && stored.status.targetVersion === targetVersion;
            log.info(isOwn ? `the status of ${service} is ${state}.` : `another status of ${service} is stored.`, {
                revision: stored.revision,
                service,
                status: stored.status,
            });
            this.#options.onRecord(stored);
        }
        finally {
            this.#writing.delete(service);
        }
    }

    /** Reads what is stored after a write whose result isn't known, before the next decision. */
    async #readStored(service: string, name: string): Promise<void> {
        const result = await this.#options.store.readRollout(name);
        const stored = result.isRight() ? result.extract() as RolloutRecord | undefined : undefined;
        if (stored === undefined) {
            const detail = result.isLeft() ? (result.extract() as StoreError).detail : "there is no order";
            this.#options.log.warn(`the order of ${service} can't be read: ${detail}.`, { service });
        }
        else {
            this.#options.onRecord(stored);
        }
    }
}
