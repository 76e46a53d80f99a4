/** Manifests of versions, signed with the mesh key. */
import { createHmac, timingSafeEqual } from "node:crypto";
import { computeHash } from "./ResourceContent.js";
import type { Manifest } from "./Version.js";

/** Key of the only mutable object of the configuration. */
export const HEAD_KEY = "config/head";

const MANIFEST_PREFIX = "config/manifests/";
const PART_PREFIX = "config/parts/";

/** Computes the MAC over the fields that identify a version; the root covers all resources. */
function computeMac(manifest: Omit<Manifest, "mac">, meshKey: string): string {
    const { author, message, previous, root, time, version } = manifest;
    return createHmac("sha256", meshKey)
        .update(JSON.stringify([version, root, previous, author, time, message]))
        .digest("hex");
}

/** Creates a signed manifest. */
export function createManifest(unsigned: Omit<Manifest, "mac">, meshKey: string): Manifest {
    return { ...unsigned, mac: computeMac(unsigned, meshKey) };
}

/** Returns whether the manifest was signed with the mesh key and not changed since. */
export function verifyManifest(manifest: Manifest, meshKey: string): boolean {
    const expected = Buffer.from(computeMac(manifest, meshKey));
    const given = Buffer.from(manifest.mac);
    return expected.length === given.length && timingSafeEqual(expected, given);
}

/** Returns the key under which a manifest's text is stored. */
export function formatManifestKey(text: string): string {
    return MANIFEST_PREFIX + computeHash(text);
}

/** Returns the key under which the part with a hash is stored. */
export function formatPartKey(hash: string): string {
    return PART_PREFIX + hash;
}
