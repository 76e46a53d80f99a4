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

// Guards against a receiver whose resources differ from the sender's after a delta was applied.
test("applying the delta between any two versions to the first gives exactly the second", () => {
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

// Guards against a version that is applied partially (P3): a corrupted delta is rejected, or has the same result.
test("a delta corrupted in transit is rejected as a whole or gives the stated root", () => {
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

test("a delta that is incomplete, has another base or has forged content is rejected", () => {
    const from = createResources({ a: 1 });
    const to = createResources({ a: 2 });
    const delta = computeDelta(from, to);
    expect(applyDelta(to, computeRootHash(to), delta).swap().unsafeCoerce().kind).toBe("base");
    const forged = { ...delta, changed: delta.changed.map(resource => ({ ...resource, content: "3" })) };
    expect(applyDelta(from, computeRootHash(from), forged).swap().unsafeCoerce().kind).toBe("content");
    const incomplete = { ...delta, changed: [] };
    expect(applyDelta(from, computeRootHash(from), incomplete).swap().unsafeCoerce().kind).toBe("root");
});

// Guards against a history that grows without bound, or a delta that misses a change of an intermediate version.
test("the history gives a delta to the newest version from each retained version and from no older one", () => {
    let history: SnapshotHistory | undefined;
    const snapshots = Array.from({ length: SNAPSHOT_HISTORY_LENGTH + 10 }, (_, index) => {
        const resources = createResources({ [`s${index % 7}`]: index, steady: 0, toggled: index % 2 });
        return createSnapshot(index + 1, resources);
    });
    for (const snapshot of snapshots) {
        history = addSnapshot(history, snapshot);
    }
    const newest = snapshots.at(-1);
    const answers = snapshots.map(snapshot => {
        const delta = history === undefined ? undefined : computeDeltaToNewest(history, snapshot.manifest.root);
        return delta === undefined
            ? "unknown"
            : applyDelta(snapshot.resources, snapshot.manifest.root, delta).map(computeRootHash).unsafeCoerce();
    });
    expect(answers.slice(0, 10)).toEqual(Array.from({ length: 10 }, () => "unknown"));
    expect(new Set(answers.slice(10))).toEqual(new Set([newest?.manifest.root]));
});
