/**
 * Writes the records of a region that the store lacks after it was restored from a copy. Only the daemons that watch the
 * store notice that, so they write the records of the others as well.
 */
import { generateBackoffDelays } from "../../coordination/retries/index.js";
import { isSameLocation } from "../../state/members/index.js";
import type { Member } from "../../state/members/index.js";
import type { MeshStorePort, StoreError } from "../../state/store/index.js";
import type { PartLogger } from "../logging/index.js";
import { sleepFor } from "../timers/index.js";
import type { Timers } from "../timers/index.js";
import { RESTORE_SPREAD_MS, STORE_RETRY_BASE_MS, STORE_RETRY_MAXIMUM_MS } from "./DirectoryConstants.js";

export interface RecordRestorerOptions {
    readonly store: MeshStorePort;
    readonly log: PartLogger;
    readonly random: () => number;
    readonly timers: Timers;
    /** Lists the present daemons of the region. */
    listRegion(): readonly Member[];
}

export class RecordRestorer {
    readonly #options: RecordRestorerOptions;
    #isRestoring = false;
    #isStopping = false;

    constructor(options: RecordRestorerOptions) {
        this.#options = options;
    }

    get isRestoring(): boolean {
        return this.#isRestoring;
    }

    /** Writes what is missing in the era of a restored store, with retries until that is done. */
    async restore(era: number): Promise<void> {
        const { log, random, timers } = this.#options;
        this.#isRestoring = true;
        // The watchers of a region begin at different times, so that the later ones find the records written.
        await sleepFor(timers, random() * RESTORE_SPREAD_MS);
        const delays = generateBackoffDelays(STORE_RETRY_BASE_MS, () => STORE_RETRY_MAXIMUM_MS, random);
        let restored = 0;
        let error: StoreError | undefined;
        do {
            if (error !== undefined) {
                log.warn(`records can't be restored: ${error.detail}.`, { error });
                await sleepFor(timers, delays.next().value);
            }
            const result = await this.#writeMissing();
            restored += result.written;
            error = result.error;
        }
        while (error !== undefined && !this.#isStopping);
        this.#isRestoring = false;
        if (error === undefined) {
            log.info(`wrote ${restored} records that the store's copy lacked.`, { era, restored });
        }
    }

    stop(): void {
        this.#isStopping = true;
    }

    async #writeMissing(): Promise<{ readonly written: number; readonly error: StoreError | undefined; }> {
        const { store } = this.#options;
        const listing = await store.listMembers();
        if (listing.isLeft()) {
            return { error: listing.extract() as StoreError, written: 0 };
        }
        let written = 0;
        for (const member of this.#listMissing(listing.unsafeCoerce())) {
            const result = await store.writeMember(member);
            if (result.isLeft()) {
                return { error: result.extract() as StoreError, written };
            }
            written++;
        }
        return { error: undefined, written };
    }

    /** Lists the daemons whose records are not stored, or only those of another location. */
    #listMissing(stored: readonly Member[]): readonly Member[] {
        const storedById = new Map(stored.map(member => [member.id, member]));
        return this.#options.listRegion().filter(member => {
            const other = storedById.get(member.id);
            return other === undefined || !isSameLocation(other, member);
        });
    }
}
