import { expect, test } from "vitest";
import { joinResources } from "../../../../state/document/index.js";
import type { Snapshot } from "../../../../state/versions/index.js";
import { computeRootHash } from "../../../../state/versions/index.js";
import { createFakeStore, createFaultPlan } from "../../../claims/__tests__/fixtures/FakeStore.js";
import type { FakeStore } from "../../../claims/__tests__/fixtures/FakeStore.js";
import type { LoadError } from "../../index.js";
import { loadSnapshot, readHead, readVersion } from "../../index.js";
import { createDocument, createLargeDocument } from "../fixtures/Documents.js";
import { apply, createAccess, MESH_KEY } from "../fixtures/Writers.js";

async function load(store: FakeStore, held?: Snapshot) {
    const stored = (await readHead(store.get)).unsafeCoerce();
    const head = stored?.head ?? { manifest: "", root: "", version: 0 };
    return loadSnapshot(store, head, held, MESH_KEY);
}

/** Replaces the stored value of the only object with a key prefix. */
async function replaceValue(store: FakeStore, prefix: string, change: (value: string) => string): Promise<void> {
    const object = [...store.objects.values()].find(({ key }) => key.startsWith(prefix));
    if (object === undefined) {
        throw new Error(`no object in the store has the key prefix "${prefix}"`);
    }
    await store.put(object.key, change(object.value), { kind: "version", version: object.version });
}

/** Counts the store reads of one load. */
async function countReads(store: FakeStore, held?: Snapshot): Promise<number> {
    const before = store.trace.length;
    (await load(store, held)).unsafeCoerce();
    return store.trace.length - before;
}

// Guards against transferring the whole document over the billed link for each small change.
test("a held version is advanced by one manifest read for each later version", async () => {
    const store = createFakeStore(createFaultPlan());
    await apply(store, createLargeDocument("a"));
    const held = (await load(store)).unsafeCoerce();
    await apply(store, createLargeDocument("b"));
    expect(await countReads(store, held)).toBe(2);
    await apply(store, createLargeDocument("c"));
    expect(await countReads(store, held)).toBe(3);
    const advanced = (await load(store, held)).unsafeCoerce();
    expect(joinResources(advanced.resources.values())).toEqual(createLargeDocument("c"));
    expect(advanced.resources.get("resource/text-1")).toBe(held.resources.get("resource/text-1"));
    expect(await countReads(store)).toBeGreaterThan(6);
});

// Guards against transferring the whole document when the delta is too large for the manifest.
test("only the changed parts are read when there is no usable delta", async () => {
    const store = createFakeStore(createFaultPlan());
    await apply(store, createLargeDocument("a"));
    const held = (await load(store)).unsafeCoerce();
    await apply(store, createLargeDocument("b".repeat(100_000)));
    const advanced = (await load(store, held)).unsafeCoerce();
    expect(advanced.manifest.delta).toBeUndefined();
    expect(computeRootHash(advanced.resources)).toBe(advanced.manifest.root);
    expect(await countReads(store, held)).toBeLessThan(await countReads(store));
});

// Guards against loading a version from a process outside the mesh, or a partial version (P3).
test.each([
    [
        "a manifest signed with another key",
        "forged",
        (store: FakeStore) => apply(store, createDocument(1), { meshKey: "x" }),
    ],
    ["a truncated manifest", "damaged", async (store: FakeStore) => {
        await apply(store, createDocument(1));
        await replaceValue(store, "config/manifests/", value => value.slice(0, 100));
    }],
    ["a truncated part", "damaged", async (store: FakeStore) => {
        await apply(store, createDocument(1));
        await replaceValue(store, "config/parts/", value => value.slice(0, 100));
    }],
    ["a head that references another version", "damaged", async (store: FakeStore) => {
        await apply(store, createDocument(1));
        await replaceValue(store, "config/head", value => value.replace("\"version\":1", "\"version\":7"));
    }],
])("%s is not loaded", async (_case, kind, prepare) => {
    const store = createFakeStore(createFaultPlan());
    await prepare(store);
    expect((await load(store)).swap().map((error: LoadError) => error.kind).unsafeCoerce()).toBe(kind);
});

// Guards against a signed version that makes a forged one part of its history.
test("applying a document to a forged version fails", async () => {
    const store = createFakeStore(createFaultPlan());
    await apply(store, createDocument(1), { meshKey: "another key" });
    expect(await apply(store, createDocument(2))).toMatchObject({ kind: "failed" });
});

// Guards against a damaged part that remains in all later versions.
test("a damaged part is rewritten when the next version is applied", async () => {
    const store = createFakeStore(createFaultPlan());
    await apply(store, createLargeDocument("a"));
    await replaceValue(store, "config/parts/", () => "");
    expect((await load(store)).isLeft()).toBe(true);
    expect((await apply(store, createLargeDocument("b"))).kind).toBe("accepted");
    expect((await load(store)).isRight()).toBe(true);
});

// Guards against versions that are in the history but can't be read.
test("each version of the history can be read, and a version that does not exist is undefined", async () => {
    const store = createFakeStore(createFaultPlan());
    for (const slots of [1, 2, 3]) {
        await apply(store, createDocument(slots));
    }
    const read = async (version?: number) => (await readVersion(createAccess(store), version, MESH_KEY)).unsafeCoerce();
    const first = await read(1);
    expect(joinResources(first?.resources.values() ?? []).services["service-0"]?.slots).toBe(1);
    expect((await read())?.manifest.version).toBe(3);
    expect(await read(4)).toBeUndefined();
});
