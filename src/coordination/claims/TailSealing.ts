import type { ClaimShard, SealedReference } from "../../state/claims/index.js";
import type { ObjectVersion, StorePort } from "../../state/store/index.js";

import { encodeClaims, formatSealedKey } from "../../state/claims/index.js";
import { SEAL_THRESHOLD_BYTES } from "./ClaimConstants.js";

/** A shard's mutable object as last confirmed by the store; `version` is undefined while it is absent. */
export interface ShardHead {
    readonly shard: ClaimShard;
    readonly version: ObjectVersion | undefined;
    /** Length of the object's value. */
    readonly bytes: number;
    /** Time in milliseconds at which the confirming call to the store began. */
    readonly confirmedAt: number;
}

/** A sealed object that was written for one version of the head and is not yet referenced by it. */
interface SealedDraft {
    readonly headVersion: ObjectVersion;
    readonly reference: SealedReference;
}

/** Moves large tails of one shard to sealed objects and deletes sealed objects that are no longer needed. */
export interface TailSealing {
    /** Returns the content that the next write is based on: the head's content, with a large tail sealed. */
    prepare(head: ShardHead): Promise<ClaimShard>;
    /** Deletes expired objects that the written head lists as removed. */
    clean(shard: ClaimShard): Promise<void>;
}

/** `createId` returns an id that no other writer ever uses. */
export function createTailSealing(store: StorePort, shardNumber: number, createId: () => string): TailSealing {
    let draft: SealedDraft | undefined;
    const deleted = new Set<string>();

    /** Deletes a draft of an older head version that the head does not reference, because no later write can. */
    async function deleteStaleDraft(head: ShardHead): Promise<void> {
        if (draft === undefined || head.version === undefined || head.version <= draft.headVersion) {
            return;
        }
        const { name, version } = draft.reference;
        draft = undefined;
        const isReferenced = [...head.shard.sealed, ...head.shard.removed].some(reference => reference.name === name);
        if (!isReferenced) {
            await store.delete(name, version);
        }
    }

    /** Reads the version after a lost answer. Ids are unique to this writer, so an object of that name is its own. */
    async function readVersion(name: string): Promise<ObjectVersion | undefined> {
        const result = await store.get(name);
        return result.orDefault(undefined)?.version;
    }

    async function createDraft(head: ShardHead, headVersion: ObjectVersion): Promise<SealedDraft | undefined> {
        const name = formatSealedKey(shardNumber, createId());
        const written = await store.put(name, encodeClaims(head.shard.tail), { kind: "absent" });
        const version = written.isRight() ? written.extract() : await readVersion(name);
        const newestAt = Math.max(...head.shard.tail.map(entry => entry.at));
        return version === undefined ? undefined : { headVersion, reference: { name, version, newestAt } };
    }

    async function prepare(head: ShardHead): Promise<ClaimShard> {
        await deleteStaleDraft(head);
        const shard = { ...head.shard, removed: head.shard.removed.filter(({ name }) => !deleted.has(name)) };
        const isLarge = head.bytes > SEAL_THRESHOLD_BYTES && encodeClaims(shard.tail).length > SEAL_THRESHOLD_BYTES;
        if (!isLarge || head.version === undefined) {
            return shard;
        }
        draft ??= await createDraft(head, head.version);
        return draft ? { ...shard, sealed: [...shard.sealed, draft.reference], tail: [] } : shard;
    }

    async function clean(shard: ClaimShard): Promise<void> {
        const listed = new Set(shard.removed.map(({ name }) => name));
        for (const name of deleted) {
            if (!listed.has(name)) {
                deleted.delete(name);
            }
        }
        for (const { name, version } of shard.removed.filter(reference => !deleted.has(reference.name))) {
            const result = await store.delete(name, version);
            if (result.isRight()) {
                deleted.add(name);
            }
        }
    }

    return { prepare, clean };
}
