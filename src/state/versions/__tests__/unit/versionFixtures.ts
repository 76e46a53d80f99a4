import type { Resource, Snapshot } from "../../index.js";
import { computeRootHash, createManifest, createResource, mapResourcesByName } from "../../index.js";

export const MESH_KEY = "test mesh key";

/** Creates resources `service/<name>` with the given contents. */
export function createResources(contents: Readonly<Record<string, unknown>>): ReadonlyMap<string, Resource> {
    return mapResourcesByName(
        Object.entries(contents).map(([name, content]) => createResource(`service/${name}`, content)),
    );
}

/** Creates a snapshot with a signed manifest. */
export function createSnapshot(version: number, resources: ReadonlyMap<string, Resource>): Snapshot {
    const manifest = createManifest({
        author: "ada",
        message: "",
        parts: [],
        previous: null,
        root: computeRootHash(resources),
        time: 0,
        version,
    }, MESH_KEY);
    return { manifest, manifestKey: `config/manifests/${version}`, resources };
}
