import { expect, test } from "vitest";
import {
    buildParts,
    computeRootHash,
    createManifest,
    MAXIMUM_PART_BYTES,
    parseHead,
    parseManifest,
    unpackParts,
    verifyManifest,
} from "../../index.js";
import { createResources, createSnapshot, MESH_KEY } from "./versionFixtures.js";

function createLargeContents(changed: string): Record<string, unknown> {
    const names = Array.from({ length: 2_000 }, (_, index) => `service-${index}`);
    return Object.fromEntries(names.map(name => [name, name === changed ? "changed" : "x".repeat(1_000)]));
}

// Guards against a part above the store's limit of 1 MB a value, and against a change that rewrites all parts.
test("a document of 2 MB is packed into parts, and a change rewrites one of them", () => {
    const before = buildParts(createResources(createLargeContents("")).values());
    const after = buildParts(createResources(createLargeContents("service-77")).values());
    expect(Math.max(...before.map(part => Buffer.byteLength(part.text)))).toBeLessThanOrEqual(MAXIMUM_PART_BYTES);
    const held = new Set(before.map(part => part.hash));
    expect(after.filter(part => !held.has(part.hash))).toHaveLength(1);
});

// Guards against a version that is read partially (P3).
test("parts are unpacked only if none is missing or truncated", () => {
    const resources = createResources(createLargeContents(""));
    const root = computeRootHash(resources);
    const texts = buildParts(resources.values()).map(part => part.text);
    expect(unpackParts(texts, root).map(computeRootHash).unsafeCoerce()).toBe(root);
    expect(unpackParts(texts.slice(1), root).isLeft()).toBe(true);
    expect(unpackParts([...texts.slice(1), texts[0]?.slice(0, 5_000) ?? ""], root).isLeft()).toBe(true);
    expect(unpackParts([...texts, "{\"resources\":[{\"name\":1}]}", "null"], root).isRight()).toBe(true);
});

// Guards against a version forged by a process without the mesh key.
test("a manifest that was changed or signed with another key fails verification", () => {
    const { manifest } = createSnapshot(3, createResources({ a: 1 }));
    expect(verifyManifest(manifest, MESH_KEY)).toBe(true);
    const changes = [{ version: 4 }, { root: "0" }, { previous: "x" }, { author: "eve" }, { time: 1 }, {
        message: "x",
    }];
    expect(changes.map(change => verifyManifest({ ...manifest, ...change }, MESH_KEY))).toEqual(
        changes.map(() => false),
    );
    expect(verifyManifest(createManifest(manifest, "another key"), MESH_KEY)).toBe(false);
    expect(verifyManifest({ ...manifest, mac: "" }, MESH_KEY)).toBe(false);
});

test.each(["", "{", "null", "[]", "{\"version\":0}", "{\"version\":\"1\",\"root\":\"a\",\"manifest\":\"b\"}"])(
    "the truncated or malformed text %j is parsed neither as a head nor as a manifest",
    text => {
        expect(parseHead(text)).toBeUndefined();
        expect(parseManifest(text)).toBeUndefined();
    },
);
