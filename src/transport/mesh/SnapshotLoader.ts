import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { StorePort } from "../../state/store/index.js";
import { applyDelta, formatPartKey, parseManifest, unpackParts, verifyManifest } from "../../state/versions/index.js";
import type { Head, Manifest, Snapshot } from "../../state/versions/index.js";

/** Reads the version that the head names; by the manifest's delta when it starts at `held`. */
export async function loadSnapshot(
    store: StorePort,
    head: Head,
    held: Snapshot | undefined,
    meshKey: string,
): Promise<Either<string, Snapshot>> {
    const text = await readText(store, head.manifest);
    const manifest = text === undefined ? undefined : parseManifest(text);
    if (manifest === undefined || manifest.version !== head.version || manifest.root !== head.root) {
        return Left(`manifest ${head.manifest} is missing or does not fit the head`);
    }
    if (!verifyManifest(manifest, meshKey)) {
        return Left("the manifest is not signed with the mesh key");
    }
    const resources = manifest.delta !== undefined && manifest.delta.fromRoot === held?.manifest.root
        ? applyDelta(held.resources, held.manifest.root, manifest.delta)
        : await readParts(store, manifest);
    return resources
        .map(found => ({ manifest, manifestKey: head.manifest, resources: found }))
        .mapLeft(mismatch => mismatch.detail);
}

async function readParts(store: StorePort, manifest: Manifest): Promise<ReturnType<typeof unpackParts>> {
    const texts = await Promise.all(manifest.parts.map(part => readText(store, formatPartKey(part))));
    const found = texts.filter(text => text !== undefined);
    return found.length === texts.length
        ? unpackParts(found, manifest.root)
        : Left({ detail: "a part is missing in the store", kind: "content" });
}

async function readText(store: StorePort, key: string): Promise<string | undefined> {
    return (await store.get(key)).chain(stored => Right(stored?.value)).orDefault(undefined);
}
