import { expect, test } from "vitest";
import { createDocument, VirtualMesh } from "../support/VirtualMesh.js";

// Guards against daemons that stay without the first version, or miss a change.
test("an accepted version comes into force on every daemon", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(4);
    mesh.accept(createDocument("first"));
    await mesh.time.advanceUntil(() => mesh.isEverywhere(1), 20_000);
    await mesh.time.advance(10_000);
    mesh.accept(createDocument("second"));
    await mesh.time.advanceUntil(() => mesh.isEverywhere(2), 1_000);
    expect(mesh.listVersions()).toEqual([2]);
});

// Guards against a start in which two daemons have each other as parent and wait for each other's floor.
test("daemons that join by each other settle at once", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    await mesh.startAll(4);
    await mesh.time.advanceUntil(() => mesh.isEverywhere(1), 4_000);
    expect(mesh.listVersions()).toEqual([1]);
});
