import type { Either } from "purify-ts/Either";
import type { StorePort } from "../../state/store/index.js";

import { Left, Right } from "purify-ts/Either";
import { decodeLayout, encodeClaims, LAYOUT_KEY } from "../../state/claims/index.js";

/**
 * Creates a function that returns the number of shards. The first daemon of a mesh fixes it in the
 * store: if each daemon took it from its configuration, a change would place a key in two shards.
 */
export function createShardCountReader(
    store: StorePort,
    readShards: () => number,
): () => Promise<Either<string, number>> {
    let cachedCount: number | undefined;
    let pendingRead: Promise<Either<string, number>> | undefined;

    async function readLayout(): Promise<Either<string, number>> {
        const existing = await readStoredLayout();
        if (existing.isLeft() || existing.extract() !== undefined) {
            return existing as Either<string, number>;
        }
        // The layout is read again whatever the write returned, because its answer can be lost.
        const written = await store.put(LAYOUT_KEY, encodeClaims({ shards: readShards() }), { kind: "absent" });
        const stored = await readStoredLayout();
        return stored.chain(shards =>
            shards === undefined
                ? Left(written.isLeft() ? written.extract().detail : "the layout of the shards was not found")
                : Right(shards)
        );
    }

    async function readStoredLayout(): Promise<Either<string, number | undefined>> {
        const result = await store.get(LAYOUT_KEY);
        return result
            .mapLeft(error => error.detail)
            .chain(object => object === undefined ? Right(undefined) : decodeLayout(object.value));
    }

    return async () => {
        if (cachedCount !== undefined) {
            return Right(cachedCount);
        }
        pendingRead ??= readLayout().finally(() => {
            pendingRead = undefined;
        });
        const result = await pendingRead;
        result.ifRight(shards => {
            cachedCount = shards;
        });
        return result;
    };
}
