const FNV_OFFSET = 0x811C9DC5;
const FNV_PRIME = 0x01000193;

/** Computes 32-bit FNV-1a over the UTF-16 units, with a final mix so that similar names differ in all bits. */
export function computeRendezvousHash(key: string, candidate: string): number {
    let hash = FNV_OFFSET;
    for (let index = 0; index < key.length; index++) {
        hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
    }
    hash = Math.imul(hash ^ 0xFF, FNV_PRIME);
    for (let index = 0; index < candidate.length; index++) {
        hash = Math.imul(hash ^ candidate.charCodeAt(index), FNV_PRIME);
    }
    hash ^= hash >>> 16;
    hash = Math.imul(hash, 0x85EBCA6B);
    hash ^= hash >>> 13;
    hash = Math.imul(hash, 0xC2B2AE35);
    return (hash ^ (hash >>> 16)) >>> 0;
}

/** Orders candidates for a key by rendezvous hashing, lowest hash first; ties by id. */
export function rankByRendezvousHash<T extends { readonly id: string; }>(key: string, candidates: readonly T[]): T[] {
    return candidates
        .map(candidate => ({ candidate, hash: computeRendezvousHash(key, candidate.id) }))
        .sort((left, right) => left.hash - right.hash || (left.candidate.id < right.candidate.id ? -1 : 1))
        .map(({ candidate }) => candidate);
}
