import { expect, test } from "vitest";
import { startStoreServer } from "../../../../../standins/store/index.js";
import { createDocument } from "../../../../coordination/acceptance/__tests__/fixtures/Documents.js";
import { apply, listVersions } from "../../../../coordination/acceptance/__tests__/fixtures/Writers.js";
import { createStoreClient } from "../../index.js";

// Guards against an acceptance that works only with the in-memory store; here answers are lost on real connections.
test("over HTTP, lost answers are resolved, and the loser of two racing operators gets a conflict", async () => {
    const server = await startStoreServer({ port: 0 });
    const store = createStoreClient({ timeoutMs: 5_000, url: server.url });
    try {
        // The answers of the part, the manifest and the head are lost.
        server.setFaults({ lostAnswers: 3 });
        expect(await apply(store, createDocument(1))).toMatchObject({ kind: "accepted", version: { version: 1 } });
        const outcomes = await Promise.all([
            apply(store, createDocument(2), { author: "ada", ifVersion: 1 }),
            apply(store, createDocument(3), { author: "bea", ifVersion: 1 }),
        ]);
        const [winner, other] = outcomes[0].kind === "accepted" ? ["ada", outcomes[1]] : ["bea", outcomes[0]];
        expect(outcomes.filter(outcome => outcome.kind === "accepted")).toHaveLength(1);
        expect(other).toMatchObject({ currentVersion: 2, kind: "conflict", other: { author: winner, version: 2 } });
        expect(await listVersions(store)).toHaveLength(2);
        expect(server.readCounters().lostAnswers).toBe(3);
    }
    finally {
        await store.close();
        await server.close();
    }
});
