import { expect, test } from "vitest";
import { createSeededRandom } from "../../../../state/shared/index.js";
import { HEAD_KEY } from "../../../../state/versions/index.js";
import { createFakeStore, createFaultPlan } from "../../../claims/__tests__/fixtures/FakeStore.js";
import type { Fault, FaultPlan } from "../../../claims/__tests__/fixtures/FakeStore.js";
import { createDocument, createLargeDocument } from "../fixtures/Documents.js";
import { apply, listVersions } from "../fixtures/Writers.js";

/** Store calls to apply a document to an existing version: head, manifest and part are read, then each is written. */
const CALLS_OF_ONE_APPLICATION = 6;

/** Creates a plan that applies a fault to the calls that `isFaulty` selects. */
function createPlan(fault: Fault, isFaulty: (call: number, operation: string, key: string) => boolean): FaultPlan {
    let calls = 0;
    return createFaultPlan((operation, key) => {
        calls += 1;
        return isFaulty(calls, operation, key) ? fault : "none";
    });
}

async function createStoreWithVersion() {
    const store = createFakeStore(createFaultPlan());
    await apply(store, createDocument(1));
    return store;
}

// Guards against additional store calls, and against a call that the fault tests below would miss.
test("applying a document to an existing version takes one store call for each object read and written", async () => {
    const store = await createStoreWithVersion();
    const before = store.trace.length;
    await apply(store, createDocument(2));
    expect(store.trace.length - before).toBe(CALLS_OF_ONE_APPLICATION);
});

// Guards against a document that is accepted twice or reported wrongly when a store answer is lost (P9).
test.each(["unreachable", "lost-request", "lost-answer", "late"] as const)(
    "a document is accepted exactly once when any one store call has the fault %s",
    async fault => {
        for (let faulty = 1; faulty <= CALLS_OF_ONE_APPLICATION; faulty += 1) {
            const store = await createStoreWithVersion();
            const outcome = await apply(store.withPlan(createPlan(fault, call => call === faulty)), createDocument(2));
            expect(outcome, `fault at call ${faulty}`).toMatchObject({ kind: "accepted", version: { version: 2 } });
            expect(await listVersions(store)).toHaveLength(2);
        }
    },
);

// Guards against a partial version after a writer crashed between two writes (P3).
test("a writer that loses the store before it wrote the head leaves the current version unchanged", async () => {
    for (let last = 0; last < CALLS_OF_ONE_APPLICATION; last += 1) {
        const store = await createStoreWithVersion();
        const cutOff = store.withPlan(createPlan("unreachable", call => call > last));
        expect((await apply(cutOff, createDocument(2))).kind).toBe("failed");
        expect((await listVersions(store)).map(version => version.version)).toEqual([1]);
        expect((await apply(store, createDocument(2))).kind).toBe("accepted");
    }
});

// Guards against reporting "failed" for a version that was accepted, or the reverse.
test.each([["lost-answer", "unchanged"], ["lost-request", "accepted"]] as const)(
    "when the store is unreachable after a %s of the head, the outcome is unknown and a second application is %s",
    async (fault, repeated) => {
        const store = await createStoreWithVersion();
        let isGone = false;
        const plan = createFaultPlan((operation, key) => {
            if (isGone) {
                return "unreachable";
            }
            isGone = operation === "put" && key === HEAD_KEY;
            return isGone ? fault : "none";
        });
        expect(await apply(store.withPlan(plan), createDocument(2))).toMatchObject({
            kind: "unknown",
            proposedVersion: 2,
        });
        expect(await apply(store, createDocument(2))).toMatchObject({ kind: repeated, version: { version: 2 } });
        expect(await listVersions(store)).toHaveLength(2);
    },
);

// Guards against reporting a conflict for a version that was accepted before another one.
test("a version whose answer was lost is reported as accepted although another version followed", async () => {
    const store = await createStoreWithVersion();
    let isFollowed = false;
    const plan: FaultPlan = {
        decide: (operation, key) => operation === "put" && key === HEAD_KEY ? "lost-answer" : "none",
        delay: async () => {
            if (store.trace.at(-1) === `put ${HEAD_KEY}: lost-answer` && !isFollowed) {
                isFollowed = true;
                await apply(store, createDocument(3), { author: "bea" });
            }
        },
    };
    expect(await apply(store.withPlan(plan), createDocument(2))).toMatchObject({
        kind: "accepted",
        version: { version: 2 },
    });
    expect((await listVersions(store)).map(version => version.author)).toEqual(["bea", "ada", "ada"]);
});

// Guards against an edit that silently overwrites the edit of another operator.
test("an edit of an older version is a conflict that names the author of the newer one", async () => {
    const store = await createStoreWithVersion();
    await apply(store, createDocument(2), { author: "bea", ifVersion: 1 });
    expect(await apply(store, createDocument(3), { ifVersion: 1 })).toMatchObject({
        currentVersion: 2,
        kind: "conflict",
        other: { author: "bea", version: 2 },
    });
    expect(await apply(store, createDocument(2), { ifVersion: 1 })).toMatchObject({ kind: "unchanged" });
});

test("an invalid document is refused with findings and without a store call", async () => {
    const store = createFakeStore(createFaultPlan());
    const source = { ...createDocument(1), classes: {} };
    expect(await apply(store, source)).toMatchObject({ findings: [{ path: "routes.all.class" }], kind: "refused" });
    expect(store.trace).toEqual([]);
});

/** Creates a plan with random faults in a fifth of the calls and random delays. */
function createRandomPlan(seed: number): FaultPlan {
    const random = createSeededRandom(seed);
    const faults: readonly Fault[] = ["unreachable", "lost-request", "lost-answer", "late"];
    return {
        decide: () => random() < 0.2 ? faults[Math.floor(random() * faults.length)] ?? "none" : "none",
        delay: async () => {
            for (let turns = Math.floor(random() * 8); turns > 0; turns -= 1) {
                await Promise.resolve();
            }
        },
    };
}

// Guards against outcomes that contradict the history when several operators write at once and answers are lost.
test("a concurrent writer's version is in the history once if accepted, never after conflict or failure", async () => {
    const kinds = new Set<string>();
    for (let seed = 1; seed <= 150; seed += 1) {
        const store = await createStoreWithVersion();
        const authors = ["bea", "cyd", "dan"];
        const outcomes = await Promise.all(
            authors.map((author, index) =>
                apply(store.withPlan(createRandomPlan(seed * 10 + index)), createDocument(index + 2), { author })
            ),
        );
        const versions = await listVersions(store);
        const written = versions.map(version => version.author);
        expect(versions.map(version => version.version)).toEqual(versions.map((_, index) => versions.length - index));
        for (const [index, outcome] of outcomes.entries()) {
            kinds.add(outcome.kind);
            const times = written.filter(author => author === authors[index]).length;
            const allowed = { accepted: [1], conflict: [0], failed: [0], refused: [], unchanged: [], unknown: [0, 1] };
            expect(allowed[outcome.kind], `seed ${seed}: ${outcome.kind} of ${authors[index]}`).toContain(times);
        }
    }
    expect([...kinds]).toEqual(expect.arrayContaining(["accepted", "conflict"]));
});

// Guards against values above the store's limit of 1 MB, and against rewriting unchanged parts.
test("a document of more than 1 MB is stored in smaller values, and a small change writes one part", async () => {
    const store = createFakeStore(createFaultPlan());
    expect((await apply(store, createLargeDocument("a"))).kind).toBe("accepted");
    const sizes = [...store.objects.values()].map(object => Buffer.byteLength(object.value));
    expect(sizes.reduce((sum, size) => sum + size)).toBeGreaterThan(1_000_000);
    expect(Math.max(...sizes)).toBeLessThan(1_000_000);
    const puts = store.trace.length;
    await apply(store, createLargeDocument("b"));
    const written = store.trace.slice(puts).filter(line => line.startsWith("put "));
    expect(written.map(line => line.replace(/[0-9a-f]{64}/, "HASH"))).toEqual([
        "put config/parts/HASH: ok",
        "put config/manifests/HASH: ok",
        "put config/head: ok",
    ]);
});
