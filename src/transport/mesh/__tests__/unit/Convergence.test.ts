import { expect, test } from "vitest";
import { createDocument, VirtualMesh } from "../support/VirtualMesh.js";

// Guards against daemons that stay without the first version, or miss a change.
test("an accepted version comes into force on every daemon", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(4);
    mesh.accept(createDocument("first"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 20_000);
    await mesh.time.advance(10_000);
    mesh.accept(createDocument("second"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 1_000);
    expect(mesh.listVersions()).toEqual([2]);
});

// Guards against a start in which two daemons have each other as parent and wait for each other's floor.
test("daemons that join by each other settle at once", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    await mesh.startAll(4);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 4_000);
    expect(mesh.listVersions()).toEqual([1]);
});

// Guards against a new region relay and its parent that wait for each other's answer at a cold start.
test.each([1, 2, 3, 4, 5, 6])("a cold start of %d daemons in each of two failure domains settles", async count => {
    const mesh = new VirtualMesh();
    await mesh.startAll(count, ["erie-a", "erie-b"]);
    mesh.accept(createDocument("first"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 8_000);
});

// Guards against daemons that start at once, know only the store, and stay apart.
test("daemons without seeds find each other by the store", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    for (const domain of ["erie-a", "erie-a", "superior-a", "superior-a", "erie-b"]) {
        await mesh.start(domain, mesh.nodes.size + 1, "status-desk", false);
    }
    await mesh.time.advanceUntil(() => mesh.list().every(node => node.readView().members.size === 5), 30_000);
    mesh.accept(createDocument("second"));
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 5_000);
});
