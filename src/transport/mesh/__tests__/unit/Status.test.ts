import { expect, test } from "vitest";
import type { RegionStatus } from "../../../../coordination/summary/index.js";
import { createDocument, REGIONS, VirtualMesh } from "../support/VirtualMesh.js";

function readStatus(mesh: VirtualMesh, region: string): RegionStatus {
    return JSON.parse(mesh.store.objects.get(`status/${region}`)?.value ?? "{}") as RegionStatus;
}

// Guards against a relay that counts daemons of other failure domains as its own, or omits them.
test("the status of each region counts every failure domain of the mesh", async () => {
    const mesh = new VirtualMesh();
    mesh.accept(createDocument("first"));
    await mesh.startAll(3);
    await mesh.time.advanceUntil(() => mesh.isInForceEverywhere(1), 20_000);
    await mesh.time.advance(20_000);
    const expected = Object.keys(REGIONS).map(failureDomain => ({
        daemons: 3,
        failureDomain,
        versions: [{ daemons: 3, version: 1 }],
    }));
    for (const region of ["erie", "superior"]) {
        expect(readStatus(mesh, region)).toMatchObject({ cutOff: [], daemons: 12, failureDomains: expected });
    }
});
