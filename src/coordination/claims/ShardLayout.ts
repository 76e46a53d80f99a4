import type { Either } from "purify-ts/Either";
import type { StorePort } from "../../state/store/index.js";

import { Left, Right } from "purify-ts/Either";
import { decodeLayout, encodeClaims, LAYOUT_KEY } from "../../state/claims/index.js";

/**
 * Creates a function that returns the number of shards. The first daemon of a mesh fixes it in the
 * store: were it taken from each daemon's configuration, a change of it would place a key in two shards.
 */
export function createShardCountReader(
    store: StorePort,
    readShards: () => number,
): () => Promise<Either<string, number>> {
    let known: number | undefined;
    let reading: Promise<Either<string, number>> | undefined;

    async function readLayout(): Promise<Either<string, number>> {
        const present = await readStoredLayout();
        if (present.isLeft() || present.extract() !== undefined) {
            return present as Either<string, number>;
        }
        // The layout is read again whatever the answer to the write, since it can be lost.
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
        if (known !== undefined) {
            return Right(known);
        }
        reading ??= readLayout().finally(() => {
            reading = undefined;
        });
        const result = await reading;
        result.ifRight(shards => {
            known = shards;
        });
        return result;
    };
}
