import type { StoredObject, StoreError, StorePort, StoreResult } from "../../src/state/store/index.js";

import { Left, Right } from "purify-ts/Either";

/** Calls to a store and the bytes written by them. */
export interface StoreCounts {
    readonly reads: number;
    readonly writes: number;
    /** Writes refused because the object had another version. */
    readonly conflicts: number;
    readonly writtenBytes: number;
}

/** An in-memory store with a fixed latency that counts calls. */
export interface CountingStore extends StorePort {
    readCounts(): StoreCounts;
}

const UNSUPPORTED: StoreError = { kind: "refused", reason: "invalid", detail: "not used by claims" };

export function createCountingStore(latencyMs: number): CountingStore {
    const objects = new Map<string, StoredObject>();
    let counts: StoreCounts = { reads: 0, writes: 0, conflicts: 0, writtenBytes: 0 };
    let lastVersion = 0;

    async function get(key: string): StoreResult<StoredObject | undefined> {
        await sleep(latencyMs);
        counts = { ...counts, reads: counts.reads + 1 };
        return Right(objects.get(key));
    }

    async function putObject(key: string, value: string, required: number | undefined): StoreResult<number> {
        await sleep(latencyMs);
        const isConflict = objects.get(key)?.version !== required;
        counts = {
            ...counts,
            writes: counts.writes + 1,
            conflicts: counts.conflicts + (isConflict ? 1 : 0),
            writtenBytes: counts.writtenBytes + value.length,
        };
        if (isConflict) {
            return Left({ kind: "refused", reason: "condition", detail: `${key} has changed` });
        }
        objects.set(key, { key, value, version: ++lastVersion });
        return Right(lastVersion);
    }

    async function deleteObject(key: string, version: number): StoreResult<void> {
        await sleep(latencyMs);
        counts = { ...counts, writes: counts.writes + 1 };
        if (objects.get(key)?.version === version) {
            objects.delete(key);
        }
        return Right(undefined);
    }

    return {
        get,
        put: (key, value, condition) =>
            putObject(key, value, condition.kind === "version" ? condition.version : undefined),
        delete: deleteObject,
        list: () => Promise.resolve(Left(UNSUPPORTED)),
        watch: () => Promise.resolve(Left(UNSUPPORTED)),
        readCounts: () => counts,
    };
}

/** Resolves after `ms`, or earlier when the signal aborts. */
export function sleep(ms: number, signal?: AbortSignal): Promise<void> {
    return new Promise(resolve => {
        const finish = (): void => {
            clearTimeout(timer);
            signal?.removeEventListener("abort", finish);
            resolve();
        };
        const timer = setTimeout(finish, ms);
        signal?.addEventListener("abort", finish, { once: true });
        if (signal?.aborted) {
            finish();
        }
    });
}
