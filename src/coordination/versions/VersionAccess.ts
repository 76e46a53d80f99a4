/** Builds, compares and reads versions for distribution; every version is checked against its mac and root. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { resolveResources } from "../../state/document/index.js";
import type { StorePort } from "../../state/store/index.js";
import type { Head, Manifest, Resource, Snapshot } from "../../state/versions/index.js";
import {
    applyDelta,
    computeDelta,
    computeRootHash,
    formatPartKey,
    parseManifest,
    unpackParts,
    verifyManifest,
} from "../../state/versions/index.js";
import type { VersionPort } from "../distribution/index.js";

const NO_RESOURCES: ReadonlyMap<string, Resource> = new Map();
const EMPTY_ROOT = computeRootHash(NO_RESOURCES);

type Changes = Parameters<VersionPort["build"]>[3];

/** Reads one object that must exist. */
async function readValue(store: StorePort, key: string): Promise<Either<string, string>> {
    const stored = await store.get(key);
    return stored.mapLeft(error => `${key}: ${error.detail}`)
        .chain(object => object === undefined ? Left(`${key} does not exist`) : Right(object.value));
}

async function readManifest(store: StorePort, head: Head, meshKey: string): Promise<Either<string, Manifest>> {
    const text = await readValue(store, head.manifest);
    return text.chain(value => {
        const manifest = parseManifest(value);
        return manifest === undefined ? Left(`${head.manifest} is not a manifest`) : Right(manifest);
    }).chain(manifest =>
        verifyManifest(manifest, meshKey) && manifest.version === head.version && manifest.root === head.root
            ? Right(manifest)
            : Left(`${head.manifest} was not signed with the mesh key for version ${head.version}`)
    );
}

/** Reads all parts of a version. */
async function readParts(store: StorePort, manifest: Manifest): Promise<Either<string, ReadonlyMap<string, Resource>>> {
    const texts: string[] = [];
    for (const hash of manifest.parts) {
        const text = await readValue(store, formatPartKey(hash));
        if (text.isLeft()) {
            return text as Either<string, never>;
        }
        texts.push(text.extract());
    }
    return unpackParts(texts, manifest.root).mapLeft(mismatch => mismatch.detail);
}

function buildSnapshot(
    meshKey: string,
    base: Snapshot | undefined,
    manifestKey: string,
    manifest: Manifest,
    changes: Changes,
): Either<string, Snapshot> {
    if (!verifyManifest(manifest, meshKey)) {
        return Left(`version ${manifest.version} was not signed with the mesh key`);
    }
    const fromRoot = base?.manifest.root ?? EMPTY_ROOT;
    return applyDelta(base?.resources ?? NO_RESOURCES, fromRoot, { ...changes, fromRoot, toRoot: manifest.root })
        .map(resources => ({ manifest, manifestKey, resources }))
        .mapLeft(mismatch => mismatch.detail);
}

/** Creates the access to versions of one mesh. */
export function createVersionAccess(meshKey: string): VersionPort {
    return {
        build: (base, manifestKey, manifest, changes) => buildSnapshot(meshKey, base, manifestKey, manifest, changes),
        diff: (from, to) => computeDelta(from?.resources ?? NO_RESOURCES, to.resources),
        load: async (store, head, held) => {
            const manifest = await readManifest(store, head, meshKey);
            if (manifest.isLeft()) {
                return manifest as Either<string, never>;
            }
            const read = manifest.extract() as Manifest;
            if (held !== undefined && read.delta?.fromRoot === held.manifest.root) {
                return buildSnapshot(meshKey, held, head.manifest, read, read.delta);
            }
            const resources = await readParts(store, read);
            return resources.map(map => ({ manifest: read, manifestKey: head.manifest, resources: map }));
        },
        resolve: ({ resources }) => {
            try {
                return Right(resolveResources(resources.values()));
            }
            catch (error) {
                return Left((error as Error).message);
            }
        },
    };
}
