import { createHash } from "node:crypto";

const KEY_HASH_BYTES = 16;
const SHARD_HASH_HEX_DIGITS = 8;

/** Store key of the object that fixes the number of shards for the lifetime of the store. */
export const LAYOUT_KEY = "claims/layout";

/** Hashes an idempotency key within its service: 128 bits of SHA-256 as hexadecimal digits. */
export function hashKey(service: string, key: string): string {
    const hash = createHash("sha256").update(service).update("\0").update(key).digest();
    return hash.subarray(0, KEY_HASH_BYTES).toString("hex");
}

/** Returns the number of the shard that holds the key. */
export function selectShard(keyHash: string, shards: number): number {
    return Number.parseInt(keyHash.slice(0, SHARD_HASH_HEX_DIGITS), 16) % shards;
}

/** Returns the store key of a shard's mutable object. */
export function formatShardKey(shard: number): string {
    return `claims/${shard}`;
}

/** Returns the store key of a sealed object; `id` must be unique to its writer. */
export function formatSealedKey(shard: number, id: string): string {
    return `claims/${shard}/sealed/${id}`;
}
