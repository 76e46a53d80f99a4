import { expect, test } from "vitest";
import { createDocument, VirtualMesh } from "../support/VirtualMesh.js";

const DOMAINS = ["erie-a", "erie-b", "superior-a"];

/** Compares the session's log with the golden file; what one moment brings to several daemons is one line. */
async function expectGoldenLog(mesh: VirtualMesh, name: string): Promise<void> {
    expect(mesh.regressions).toEqual([]);
    await expect(mesh.formatLog()).toMatchFileSnapshot(`../golden/${name}.txt`);
}

async function acceptVersion(mesh: VirtualMesh, version: number): Promise<void> {
    mesh.logNote(`accepted version ${mesh.accept(createDocument(String(version)))}`);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(version), 20_000);
    await mesh.time.advance(3_000);
}

// Guards against changes of what happens, and in which order, when a mesh starts from nothing.
test("cold start", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(3, DOMAINS);
    await mesh.time.advance(5_000);
    await acceptVersion(mesh, 1);
    await expectGoldenLog(mesh, "cold-start");
});

// Guards against changes of how one change travels, and of how many messages it takes.
test("one change", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(3, DOMAINS);
    await acceptVersion(mesh, 1);
    mesh.logLines.length = 0;
    mesh.traceMessages(["have", "update", "domainHolds", "release"]);
    await acceptVersion(mesh, 2);
    await expectGoldenLog(mesh, "one-change");
});

// Guards against changes of how a failure domain comes back at once.
test("herd", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(6, DOMAINS);
    await acceptVersion(mesh, 1);
    mesh.logLines.length = 0;
    const calls = mesh.store.calls.length;
    mesh.logNote("superior-a restarts");
    for (let number = 1; number <= 6; number++) {
        await mesh.crash(`superior-a-${number}`);
    }
    for (let number = 1; number <= 6; number++) {
        await mesh.start("superior-a", number);
    }
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 20_000);
    mesh.logNote(`store calls: ${mesh.store.calls.slice(calls).sort().join(", ")}`);
    await expectGoldenLog(mesh, "herd");
});

// Guards against changes of what daemons do while the store is down and when it comes back.
test("store outage", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(2, DOMAINS);
    await acceptVersion(mesh, 1);
    mesh.logLines.length = 0;
    mesh.logNote("the store goes down");
    mesh.store.isDown = true;
    await mesh.time.advance(60_000);
    mesh.logNote("a new daemon starts");
    await mesh.start("erie-b", 7);
    await mesh.time.advance(10_000);
    mesh.logNote("the store returns");
    mesh.store.isDown = false;
    await acceptVersion(mesh, 2);
    await expectGoldenLog(mesh, "store-outage");
});

// Guards against changes of what two regions do apart and after the link heals.
test("split and heal", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(2, DOMAINS);
    await acceptVersion(mesh, 1);
    mesh.logLines.length = 0;
    mesh.logNote("the regions lose contact");
    mesh.delayLink = (from, to) => from.region === to.region ? 0 : Infinity;
    mesh.store.unreachableRegions.add("superior");
    mesh.logNote(`accepted version ${mesh.accept(createDocument("2"))}`);
    await mesh.time.advance(60_000);
    mesh.logNote("the link heals");
    mesh.delayLink = () => 0;
    mesh.store.unreachableRegions.clear();
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(2), 20_000);
    await mesh.time.advance(5_000);
    await expectGoldenLog(mesh, "split-and-heal");
});
