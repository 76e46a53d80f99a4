import { expect, test } from "vitest";
import { createDocument, VirtualMesh } from "../support/VirtualMesh.js";

// Guards against daemons that never receive the first version, or miss a change.
test("an accepted version and a later change come into force on every daemon", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(4);
    mesh.accept(createDocument("first"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 20_000);
    await mesh.time.advance(10_000);
    mesh.accept(createDocument("second"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 1_000);
    expect(mesh.listVersions()).toEqual([2]);
});

// Guards against a startup deadlock: two daemons are each other's parent and wait for each other's floor.
test("daemons that join through each other put the version in force within 4 s", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    await mesh.startAll(4);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 4_000);
    expect(mesh.listVersions()).toEqual([1]);
});

// Guards against a deadlock at a cold start: a new region relay and its parent wait for each other's floor.
test.each([1, 2, 3, 4, 5, 6])(
    "a cold start of %d daemons in each of two failure domains puts the version in force within 8 s",
    async count => {
        const mesh = new VirtualMesh();
        await mesh.startAll(count, ["erie-a", "erie-b"]);
        mesh.accept(createDocument("first"));
        await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 8_000);
    },
);

// Guards against daemons that start at the same time, know only the store, and form separate meshes.
test("daemons without seeds form one mesh through the store", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    for (const domain of ["erie-a", "erie-a", "superior-a", "superior-a", "erie-b"]) {
        await mesh.start(domain, mesh.nodes.size + 1, "status-desk", false);
    }
    await mesh.time.advanceUntil(() => mesh.list().every(node => node.readView().members.size === 5), 30_000);
    mesh.accept(createDocument("second"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 5_000);
});
