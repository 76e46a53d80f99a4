/** Loads versions from the store and verifies their signature, root hash and content hashes. */
import { Either, Left, Right } from "purify-ts/Either";
import type { StoredObject, StoreResult } from "../../state/store/index.js";
import type { Head, Manifest, Resource, Snapshot, VersionMismatch } from "../../state/versions/index.js";
import {
    applyDelta,
    buildParts,
    computeHash,
    formatManifestKey,
    formatPartKey,
    parseManifest,
    unpackParts,
    verifyManifest,
} from "../../state/versions/index.js";
import type { LoadError } from "./AcceptanceTypes.js";

/** Reads an object of the store; daemons read once, operators' commands with retries. */
export type ReadObject = (key: string) => StoreResult<StoredObject | undefined>;

/**
 * Maximum number of manifests whose deltas are applied to a held version. Each has at most 64 KB;
 * beyond this number, reading the changed parts transfers less.
 */
const MAXIMUM_DELTA_CHAIN = 16;

/** A manifest and its key. */
export interface KeyedManifest {
    readonly manifest: Manifest;
    readonly key: string;
}

function toDamagedError(mismatch: VersionMismatch): LoadError {
    return { detail: mismatch.detail, kind: "damaged" };
}

async function readText(read: ReadObject, key: string): Promise<Either<LoadError, string>> {
    const found = (await read(key)).mapLeft((error): LoadError => ({ error, kind: "store" }));
    return found.chain(object =>
        object === undefined
            ? Left<LoadError>({ detail: `"${key}" is missing in the store.`, kind: "damaged" })
            : Right(object.value)
    );
}

/** Reads a manifest and verifies its hash and its signature. */
export async function readManifest(
    read: ReadObject,
    key: string,
    meshKey: string,
): Promise<Either<LoadError, KeyedManifest>> {
    const text = await readText(read, key);
    return text.chain((value): Either<LoadError, KeyedManifest> => {
        const manifest = parseManifest(value);
        if (manifest === undefined || formatManifestKey(value) !== key) {
            return Left({ detail: `The manifest "${key}" is damaged.`, kind: "damaged" });
        }
        return verifyManifest(manifest, meshKey)
            ? Right({ key, manifest })
            : Left({ detail: `The manifest "${key}" was not signed with this mesh key.`, kind: "forged" });
    });
}

/** Reads the manifests whose deltas lead from the held version to `newest`, oldest first; undefined if none do. */
async function readDeltaChain(
    read: ReadObject,
    newest: KeyedManifest,
    held: Snapshot,
    meshKey: string,
): Promise<readonly Manifest[] | undefined> {
    const chain: Manifest[] = [];
    let current: Manifest = newest.manifest;
    while (current.delta !== undefined && chain.length < MAXIMUM_DELTA_CHAIN) {
        chain.unshift(current);
        if (current.delta.fromRoot === held.manifest.root) {
            return chain;
        }
        if (current.previous === null || current.version <= held.manifest.version + 1) {
            return undefined;
        }
        const previous = await readManifest(read, current.previous, meshKey);
        if (previous.isLeft()) {
            return undefined;
        }
        current = previous.unsafeCoerce().manifest;
    }
    return undefined;
}

function applyDeltaChain(chain: readonly Manifest[], held: Snapshot): Either<VersionMismatch, Snapshot["resources"]> {
    return chain.reduce<Either<VersionMismatch, Snapshot["resources"]>>(
        (resources, { delta }, index) =>
            resources.chain(present => {
                const root = chain[index - 1]?.root ?? held.manifest.root;
                return delta === undefined ? resources : applyDelta(present, root, delta);
            }),
        Right(held.resources),
    );
}

/** Returns the text of a part from the parts of the held version, or reads it from the store. */
async function readPart(
    read: ReadObject,
    hash: string,
    heldTexts: ReadonlyMap<string, string>,
): Promise<Either<LoadError, string>> {
    const heldText = heldTexts.get(hash);
    if (heldText !== undefined) {
        return Right(heldText);
    }
    const text = await readText(read, formatPartKey(hash));
    return text.chain(value =>
        computeHash(value) === hash
            ? Right(value)
            : Left<LoadError>({ detail: `The part "${hash}" is damaged.`, kind: "damaged" })
    );
}

/** Reads the parts that can't be built from the held version, concurrently. */
async function readParts(
    read: ReadObject,
    { parts, root }: Manifest,
    held: Snapshot | undefined,
): Promise<Either<LoadError, ReadonlyMap<string, Resource>>> {
    const heldParts = held === undefined ? [] : buildParts(held.resources.values());
    const heldTexts = new Map(heldParts.map(part => [part.hash, part.text]));
    const texts = await Promise.all(parts.map(hash => readPart(read, hash, heldTexts)));
    return Either.sequence(texts).chain(found => unpackParts(found, root).mapLeft(toDamagedError));
}

/** Loads the version of a manifest that was read and verified. */
export async function loadManifestSnapshot(
    read: ReadObject,
    newest: KeyedManifest,
    held: Snapshot | undefined,
    meshKey: string,
): Promise<Either<LoadError, Snapshot>> {
    const { key, manifest } = newest;
    const chain = held === undefined ? undefined : await readDeltaChain(read, newest, held, meshKey);
    if (held !== undefined && chain !== undefined) {
        const resources = applyDeltaChain(chain, held).toMaybe().extract();
        if (resources !== undefined && chain.at(-1)?.root === manifest.root) {
            return Right({ manifest, manifestKey: key, resources });
        }
    }
    const resources = await readParts(read, manifest, held);
    return resources.map(loaded => ({ manifest, manifestKey: key, resources: loaded }));
}

/**
 * Loads the version that a head references, completely or not at all. From a recent held version this
 * takes one small read for each later version; otherwise the parts that changed are read.
 */
export async function loadSnapshot(
    store: { readonly get: ReadObject; },
    head: Head,
    held: Snapshot | undefined,
    meshKey: string,
): Promise<Either<LoadError, Snapshot>> {
    const read: ReadObject = key => store.get(key);
    const found = await readManifest(read, head.manifest, meshKey);
    if (found.isLeft()) {
        return Left(found.extract() as LoadError);
    }
    const newest = found.unsafeCoerce();
    if (newest.manifest.root !== head.root || newest.manifest.version !== head.version) {
        return Left({ detail: "The head and its manifest differ.", kind: "damaged" });
    }
    return loadManifestSnapshot(read, newest, held, meshKey);
}
