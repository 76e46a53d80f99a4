import fc from "fast-check";
import { expect, test } from "vitest";
import type { SnapshotHistory } from "../../index.js";
import {
    addSnapshot,
    applyDelta,
    computeDelta,
    computeDeltaToNewest,
    computeRootHash,
    isVersionDelta,
    SNAPSHOT_HISTORY_LENGTH,
} from "../../index.js";
import { createResources, createSnapshot } from "./versionFixtures.js";

const FUZZ = { numRuns: 300, seed: 20_261_204 };

const contents = fc.dictionary(fc.constantFrom("a", "b", "c", "d", "constructor", "__proto__"), fc.jsonValue());

// Guards against a daemon that ends with other resources than the sender of a delta meant.
test("a delta between any two versions leads from one exactly to the other", () => {
    fc.assert(
        fc.property(contents, contents, (before, after) => {
            const from = createResources(before);
            const to = createResources(after);
            const applied = applyDelta(from, computeRootHash(from), computeDelta(from, to)).unsafeCoerce();
            expect(new Map(applied)).toEqual(new Map(to));
            expect(computeRootHash(applied)).toBe(computeRootHash(to));
        }),
        FUZZ,
    );
});

// Guards against a version that is applied in part (P3): a changed delta is dropped, or does exactly the same.
test("a delta changed on its way is dropped whole", () => {
    fc.assert(
        fc.property(contents, contents, fc.nat(), fc.string(), (before, after, position, replacement) => {
            const from = createResources(before);
            const to = createResources(after);
            const text = JSON.stringify(computeDelta(from, to));
            const at = position % text.length;
            const received = parseJson(text.slice(0, at) + replacement + text.slice(at + 1));
            if (!isVersionDelta(received)) {
                return;
            }
            const untouched = new Map(from);
            const applied = applyDelta(from, computeRootHash(from), received);
            expect(from).toEqual(untouched);
            applied.ifRight(result => expect(computeRootHash(result)).toBe(received.toRoot));
            if (received.toRoot === computeRootHash(to)) {
                applied.ifRight(result => expect(new Map(result)).toEqual(new Map(to)));
            }
        }),
        FUZZ,
    );
});

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        return undefined;
    }
}

test("a delta for another base or with forged content is dropped", () => {
    const from = createResources({ a: 1 });
    const to = createResources({ a: 2 });
    const delta = computeDelta(from, to);
    expect(applyDelta(to, computeRootHash(to), delta).swap().unsafeCoerce().kind).toBe("base");
    const forged = { ...delta, changed: delta.changed.map(resource => ({ ...resource, content: "3" })) };
    expect(applyDelta(from, computeRootHash(from), forged).swap().unsafeCoerce().kind).toBe("content");
    const incomplete = { ...delta, changed: [] };
    expect(applyDelta(from, computeRootHash(from), incomplete).swap().unsafeCoerce().kind).toBe("root");
});

// Guards against a ring that grows without bound, or gives a delta that misses a change of a version between.
test("the ring gives a delta from each of the last versions to the newest", () => {
    let ring: SnapshotHistory | undefined;
    const snapshots = Array.from({ length: SNAPSHOT_HISTORY_LENGTH + 10 }, (_, index) => {
        const resources = createResources({ [`s${index % 7}`]: index, steady: 0, toggled: index % 2 });
        return createSnapshot(index + 1, resources);
    });
    for (const snapshot of snapshots) {
        ring = addSnapshot(ring, snapshot);
    }
    const newest = snapshots.at(-1);
    const answers = snapshots.map(snapshot => {
        const delta = ring === undefined ? undefined : computeDeltaToNewest(ring, snapshot.manifest.root);
        return delta === undefined
            ? "unknown"
            : applyDelta(snapshot.resources, snapshot.manifest.root, delta).map(computeRootHash).unsafeCoerce();
    });
    expect(answers.slice(0, 10)).toEqual(Array.from({ length: 10 }, () => "unknown"));
    expect(new Set(answers.slice(10))).toEqual(new Set([newest?.manifest.root]));
});
