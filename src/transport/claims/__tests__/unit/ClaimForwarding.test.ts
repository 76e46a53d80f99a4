import type { ForwardedOperation } from "../../../../coordination/claims/index.js";

import { createServer } from "node:http";
import { afterEach, expect, test } from "vitest";
import { createTestClaimManager } from "../../../../coordination/claims/__tests__/fixtures/ClaimManagers.js";
import { createFakeStore, createFaultPlan } from "../../../../coordination/claims/__tests__/fixtures/FakeStore.js";
import { createVirtualTime } from "../../../../coordination/claims/__tests__/fixtures/VirtualTime.js";
import { createForwardedOperationHandler } from "../../../../coordination/claims/index.js";
import { buildDocument, buildMember, startMesh } from "../../../proxy/__tests__/fixtures/Mesh.js";
import { createClaimReceiver, createClaimSender } from "../../index.js";

const MESH_KEY = "test-mesh-key";
const teardowns: (() => Promise<void>)[] = [];

afterEach(async () => {
    for (const teardown of teardowns.splice(0).reverse()) {
        await teardown();
    }
});

function createRequest(attempt: string): ForwardedOperation {
    return {
        shard: 0,
        operation: { kind: "claim", keyHash: "k", executor: "erie-b-1/1", attempt },
        isFresh: false,
        remainingMs: 500,
    };
}

function createSender(meshKey: string) {
    const sender = createClaimSender(meshKey);
    teardowns.push(() => sender.stop());
    return sender;
}

async function startHolder() {
    const store = createFakeStore(createFaultPlan());
    let uptime = 0;
    const wait = (ms: number): Promise<void> => {
        uptime += ms;
        return Promise.resolve();
    };
    const claimManager = createTestClaimManager(store, createVirtualTime(), { uptime: () => uptime, wait });
    const handleForwardedClaim = createClaimReceiver(claimManager.committer, () => new Promise(() => undefined));
    const mesh = await startMesh(buildDocument(), [{ id: "holder", options: { handleForwardedClaim } }]);
    teardowns.push(() => mesh.stop());
    return { store, holder: buildMember({ id: "holder" }, mesh.getProxy("holder").relayPort) };
}

// Guards against a second grant of a key through the holder, and against an incompatible message format.
test("a holder commits a forwarded claim and returns the same entry when it is repeated", async () => {
    const { holder } = await startHolder();
    const sender = createSender(MESH_KEY);
    const signal = new AbortController().signal;
    const first = await sender.send(holder, createRequest("a1"), signal);
    const repeated = await sender.send(holder, createRequest("a1"), signal);
    expect(first.extract()).toMatchObject({ attempt: "a1", state: "claimed" });
    expect(repeated.extract()).toMatchObject({ attempt: "a1", state: "claimed" });
});

// Guards against claims of processes outside the mesh, and against a refusal reported as possibly committed.
test("a claim without the mesh's token is refused and not committed", async () => {
    const { store, holder } = await startHolder();
    const result = await createSender("other-key").send(holder, createRequest("a1"), new AbortController().signal);
    expect(result.swap().extract()).toMatchObject({ possiblyCommitted: false });
    expect(store.objects.size).toBe(0);
});

// Guards against a claim reported as not committed although the holder may have received it.
test("a claim is possibly committed when the holder closes the connection, but not when connecting fails", async () => {
    const server = createServer(request => request.socket.destroy());
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const port = (server.address() as { readonly port: number; }).port;
    const sender = createSender(MESH_KEY);
    const holder = buildMember({ id: "holder" }, port);
    const signal = new AbortController().signal;
    const lost = await sender.send(holder, createRequest("a1"), signal);
    await new Promise<void>(resolve => server.close(() => resolve()));
    const unsent = await createSender(MESH_KEY).send(holder, createRequest("a1"), signal);
    expect(lost.swap().extract()).toMatchObject({ possiblyCommitted: true });
    expect(unsent.swap().extract()).toMatchObject({ possiblyCommitted: false });
});

// Guards against memory that grows without bound while the store is slow.
test("a holder with 4,000 waiting operations refuses the next one as not committed", async () => {
    const handle = createForwardedOperationHandler(
        { submit: () => new Promise(() => undefined), stop: () => undefined },
        () => new Promise(() => undefined),
    );
    for (let index = 0; index < 4_000; index += 1) {
        void handle(createRequest(`a${index}`));
    }
    const refused = await handle(createRequest("last"));
    expect(refused.swap().extract()).toMatchObject({ possiblyCommitted: false });
});
