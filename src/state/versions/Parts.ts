/** Packs the resources of a version into parts that fit into values of the store. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { invariant } from "../shared/index.js";
import { computeHash } from "./ResourceContent.js";
import type { Resource } from "./Version.js";
import { MAXIMUM_PART_BYTES, PART_TARGET_BYTES } from "./VersionConstants.js";
import type { VersionMismatch } from "./VersionDeltas.js";
import { findHashMismatch } from "./VersionDeltas.js";
import { isResource } from "./VersionGuards.js";
import { computeRootHash, mapResourcesByName } from "./VersionRoot.js";

/** Immutable value in the store that holds some resources of a version. */
export interface Part {
    /** SHA-256 of `text`, hexadecimal. */
    readonly hash: string;
    /** JSON text of a `PartContent`. */
    readonly text: string;
}

interface PartContent {
    readonly resources: readonly Resource[];
}

/** Resources whose name hashes begin with the same bits. */
interface Bucket {
    readonly resources: readonly HashedResource[];
    readonly prefixBits: number;
}

interface HashedResource {
    readonly resource: Resource;
    readonly nameHash: Buffer;
}

/** Maximum bits of a name hash by which buckets are divided. */
const MAXIMUM_PREFIX_BITS = 64;

function readBit(hash: Buffer, bit: number): number {
    return ((hash[bit >> 3] ?? 0) >> (7 - (bit & 7))) & 1;
}

function encodePart(resources: readonly Resource[]): string {
    const content: PartContent = { resources: [...resources].sort((a, b) => a.name < b.name ? -1 : 1) };
    return JSON.stringify(content);
}

/**
 * Packs resources into parts by a hash of their name: a bucket above the target size is divided by
 * the next bit of the hash. Changing one resource therefore rewrites one part and rarely splits it.
 */
export function buildParts(resources: Iterable<Resource>): readonly Part[] {
    const hashed = [...resources].map(resource => ({
        nameHash: Buffer.from(computeHash(resource.name), "hex"),
        resource,
    }));
    const pending: Bucket[] = [{ prefixBits: 0, resources: hashed }];
    const parts: Part[] = [];
    for (let bucket = pending.pop(); bucket !== undefined; bucket = pending.pop()) {
        const { prefixBits, resources: members } = bucket;
        const text = encodePart(members.map(member => member.resource));
        const bytes = Buffer.byteLength(text);
        if (bytes <= PART_TARGET_BYTES || members.length === 1) {
            invariant(
                bytes <= MAXIMUM_PART_BYTES,
                `a part of ${bytes} bytes exceeds the limit of ${MAXIMUM_PART_BYTES} bytes`,
            );
            parts.push({ hash: computeHash(text), text });
            continue;
        }
        invariant(
            prefixBits < MAXIMUM_PREFIX_BITS,
            `${members.length} name hashes have the same first ${MAXIMUM_PREFIX_BITS} bits`,
        );
        for (const bit of [1, 0]) {
            const half = members.filter(member => readBit(member.nameHash, prefixBits) === bit);
            if (half.length > 0) {
                pending.push({ prefixBits: prefixBits + 1, resources: half });
            }
        }
    }
    return parts;
}

/** Unpacks the parts of a version and verifies that they hold exactly the resources covered by its root hash. */
export function unpackParts(
    texts: readonly string[],
    root: string,
): Either<VersionMismatch, ReadonlyMap<string, Resource>> {
    const unpacked = texts.flatMap(text => parsePart(text));
    const mismatched = findHashMismatch(unpacked);
    if (mismatched !== undefined) {
        return Left({ detail: `The content of "${mismatched.name}" has another hash.`, kind: "content" });
    }
    const resources = mapResourcesByName(unpacked);
    const unpackedRoot = computeRootHash(resources);
    return unpackedRoot === root
        ? Right(resources)
        : Left({ detail: `The parts have root ${unpackedRoot}, not ${root}.`, kind: "root" });
}

function parsePart(text: string): readonly Resource[] {
    try {
        const content = JSON.parse(text) as Partial<PartContent> | null;
        const resources = Array.isArray(content?.resources) ? content.resources as readonly unknown[] : [];
        return resources.filter(isResource);
    }
    catch {
        // Truncated text yields no resources, so the root hash differs.
        return [];
    }
}
