/** Reads the current version and the chain of versions before it. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { ObjectVersion } from "../../state/store/index.js";
import type { Head, Snapshot } from "../../state/versions/index.js";
import { HEAD_KEY, parseHead } from "../../state/versions/index.js";
import type { LoadError, StoreAccess, VersionSummary } from "./AcceptanceTypes.js";
import type { KeyedManifest, ReadObject } from "./SnapshotLoading.js";
import { loadManifestSnapshot, readManifest } from "./SnapshotLoading.js";
import { createRetryingRead } from "./StoreRetries.js";

/** The head, and the object version that the next conditional write of it requires. */
export interface StoredHead {
    readonly head: Head;
    readonly objectVersion: ObjectVersion;
}

/** Reads the head; undefined before the first version. */
export async function readHead(read: ReadObject): Promise<Either<LoadError, StoredHead | undefined>> {
    const found = (await read(HEAD_KEY)).mapLeft((error): LoadError => ({ error, kind: "store" }));
    return found.chain((object): Either<LoadError, StoredHead | undefined> => {
        if (object === undefined) {
            return Right(undefined);
        }
        const head = parseHead(object.value);
        return head === undefined
            ? Left({ detail: `"${HEAD_KEY}" is damaged.`, kind: "damaged" })
            : Right({ head, objectVersion: object.version });
    });
}

/** Summarizes a version for operators. */
export function summarizeVersion({ key, manifest }: KeyedManifest): VersionSummary {
    const { author, delta, message, root, time, version } = manifest;
    const names = delta === undefined
        ? {}
        : { changed: delta.changed.map(resource => resource.name), removed: delta.removed };
    return { author, ...names, manifestKey: key, message, root, time, version };
}

/** Yields the versions from a manifest back to the first one; ends with the error that stopped it, if any. */
export async function* walkVersions(
    read: ReadObject,
    manifestKey: string,
    meshKey: string,
): AsyncGenerator<Either<LoadError, KeyedManifest>> {
    let key: string | null = manifestKey;
    while (key !== null) {
        const found: Either<LoadError, KeyedManifest> = await readManifest(read, key, meshKey);
        yield found;
        key = found.map(({ manifest }) => manifest.previous).orDefault(null);
    }
}

/** Reads the latest versions, the newest first. */
export async function readHistory(
    access: StoreAccess,
    limit: number,
    meshKey: string,
): Promise<Either<LoadError, readonly VersionSummary[]>> {
    const read = createRetryingRead(access);
    const head = await readHead(read);
    const summaries: VersionSummary[] = [];
    const manifestKey = head.map(stored => stored?.head.manifest).orDefault(undefined);
    if (head.isLeft() || manifestKey === undefined || limit <= 0) {
        return head.map(() => summaries);
    }
    for await (const found of walkVersions(read, manifestKey, meshKey)) {
        if (found.isLeft()) {
            return found.map(() => summaries);
        }
        found.ifRight(version => summaries.push(summarizeVersion(version)));
        if (summaries.length >= limit) {
            break;
        }
    }
    return Right(summaries);
}

/** Reads a version, by default the current one; undefined if the store has no such version. */
export async function readVersion(
    access: StoreAccess,
    version: number | undefined,
    meshKey: string,
): Promise<Either<LoadError, Snapshot | undefined>> {
    const read = createRetryingRead(access);
    const head = await readHead(read);
    const stored = head.orDefault(undefined);
    if (head.isLeft() || stored === undefined || (version ?? 0) > stored.head.version) {
        return head.map(() => undefined);
    }
    const wanted = version ?? stored.head.version;
    for await (const found of walkVersions(read, stored.head.manifest, meshKey)) {
        if (found.isLeft()) {
            return found.map(() => undefined);
        }
        const keyed = found.unsafeCoerce();
        if (keyed.manifest.version === wanted) {
            return loadManifestSnapshot(read, keyed, undefined, meshKey);
        }
    }
    return Right(undefined);
}
