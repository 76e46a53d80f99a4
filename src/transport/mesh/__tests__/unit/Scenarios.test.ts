import { expect, test } from "vitest";
import { createDocument, VirtualMesh } from "../support/VirtualMesh.js";

const DOMAINS = ["erie-a", "erie-b", "superior-a"];

/** Compares the log with the golden file; equal lines of several daemons at the same time are joined. */
async function expectGoldenLog(mesh: VirtualMesh, name: string): Promise<void> {
    expect(mesh.regressions).toEqual([]);
    await expect(mesh.formatLog()).toMatchFileSnapshot(`../golden/${name}.txt`);
}

async function acceptVersion(mesh: VirtualMesh, version: number): Promise<void> {
    mesh.logNote(`accepted version ${mesh.accept(createDocument(String(version)))}`);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(version), 20_000);
    await mesh.time.advance(3_000);
}

// Guards against unintended changes of the order of events when a mesh starts without state.
test("a cold start followed by a first version logs the golden sequence", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(3, DOMAINS);
    await mesh.time.advance(5_000);
    await acceptVersion(mesh, 1);
    await expectGoldenLog(mesh, "cold-start");
});

// Guards against unintended changes of how a version is distributed and how many messages that takes.
test("a second version sends and logs the golden sequence of messages", async () => {
    const mesh = new VirtualMesh();
    await mesh.startAll(3, DOMAINS);
    await acceptVersion(mesh, 1);
    mesh.logLines.length = 0;
    mesh.traceMessages(["have", "update", "domainHolds", "release"]);
    await acceptVersion(mesh, 2);
    await expectGoldenLog(mesh, "one-change");
});

// Guards against unintended changes of how a failure domain recovers when all its daemons restart together.
test("a failure domain that restarts as a whole logs the golden sequence and store calls", async () => {
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

// Guards against unintended changes of behaviour while the store is down and after it returns.
test("a store outage and recovery log the golden sequence", async () => {
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

// Guards against unintended changes of behaviour during a partition of two regions and after it heals.
test("a partition of two regions and its end log the golden sequence", async () => {
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
