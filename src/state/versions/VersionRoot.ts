/** Root hash of a version: covers the name and the hash of each resource. */
import { createHash } from "node:crypto";
import type { Resource } from "./Version.js";

/** Computes the root hash over all (name, hash) pairs in the order of names; hexadecimal. */
export function computeRootHash(resources: ReadonlyMap<string, Resource>): string {
    const root = createHash("sha256");
    for (const name of [...resources.keys()].sort()) {
        // Names contain no line break, so a name can't be mistaken for the hash of another resource.
        root.update(`${name}\n${resources.get(name)?.hash ?? ""}\n`);
    }
    return root.digest("hex");
}

/** Indexes resources by name. */
export function mapResourcesByName(resources: Iterable<Resource>): ReadonlyMap<string, Resource> {
    return new Map([...resources].map(resource => [resource.name, resource]));
}
