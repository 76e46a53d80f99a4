import type { Either } from "purify-ts/Either";
import type { Claim, SealedReference } from "../../state/claims/index.js";
import type { StorePort } from "../../state/store/index.js";

import { Left, Right } from "purify-ts/Either";
import { decodeSealedClaims } from "../../state/claims/index.js";
import { CONCURRENT_SEALED_READS } from "./ClaimConstants.js";

/** Looks up entries in the sealed objects of one shard. */
export interface SealedClaims {
    /**
     * Finds the newest sealed entry of each key. Fails if an object cannot be read, or no longer exists
     * because it expired after the shard's content was read.
     */
    find(references: readonly SealedReference[], keys: ReadonlySet<string>): Promise<SealedLookup>;
}

/** Entries by key hash, or the reason why a sealed object could not be read. */
export type SealedLookup = Either<string, ReadonlyMap<string, Claim>>;

/** Creates a lookup that caches the keys of each object and reads an object again only for its entries. */
export function createSealedClaims(store: StorePort): SealedClaims {
    let keysByName: ReadonlyMap<string, ReadonlySet<string>> = new Map();

    async function loadKeys(references: readonly SealedReference[]): Promise<Either<string, void>> {
        const loaded = new Map<string, ReadonlySet<string>>();
        for (const { name } of references) {
            const cached = keysByName.get(name);
            if (cached) {
                loaded.set(name, cached);
            }
        }
        const missing = references.filter(({ name }) => !loaded.has(name));
        for (let start = 0; start < missing.length; start += CONCURRENT_SEALED_READS) {
            const group = missing.slice(start, start + CONCURRENT_SEALED_READS);
            const results = await Promise.all(group.map(reference => readSealedClaims(store, reference.name)));
            for (const [index, result] of results.entries()) {
                if (result.isLeft()) {
                    return Left(result.extract());
                }
                const reference = group[index] as SealedReference;
                loaded.set(reference.name, new Set(result.orDefault([]).map(entry => entry.keyHash)));
            }
        }
        keysByName = loaded;
        return Right(undefined);
    }

    async function find(
        references: readonly SealedReference[],
        keys: ReadonlySet<string>,
    ): Promise<SealedLookup> {
        const loaded = await loadKeys(references);
        if (loaded.isLeft()) {
            return Left(loaded.extract());
        }
        const found = new Map<string, Claim>();
        for (const { name } of references.toReversed()) {
            const sealedKeys = keysByName.get(name);
            if (![...keys].some(key => sealedKeys?.has(key) && !found.has(key))) {
                continue;
            }
            const entries = await readSealedClaims(store, name);
            if (entries.isLeft()) {
                return Left(entries.extract());
            }
            for (const entry of entries.orDefault([])) {
                if (keys.has(entry.keyHash) && !found.has(entry.keyHash)) {
                    found.set(entry.keyHash, entry);
                }
            }
        }
        return Right(found);
    }

    return { find };
}

async function readSealedClaims(store: StorePort, name: string): Promise<Either<string, readonly Claim[]>> {
    const result = await store.get(name);
    return result
        .mapLeft(error => `${name} could not be read: ${error.detail}`)
        .chain(object =>
            object === undefined
                ? Left(`${name} is gone`)
                : decodeSealedClaims(object.value).mapLeft(detail => `${name} is damaged: ${detail}`)
        );
}
