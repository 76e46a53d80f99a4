/** Deltas between versions: computed by the sender, applied atomically by the receiver. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { computeHash } from "./ResourceContent.js";
import type { Resource, VersionDelta } from "./Version.js";
import { computeRootHash } from "./VersionRoot.js";

/** Why a delta or the parts of a version were rejected; the receiver keeps the version it has. */
export interface VersionMismatch {
    readonly kind: "base" | "content" | "root";
    readonly detail: string;
}

type Resources = ReadonlyMap<string, Resource>;

/** Lists the names whose resources differ, sorted. */
export function listChangedNames(from: Resources, to: Resources): readonly string[] {
    const changed = [...to.values()].filter(resource => from.get(resource.name)?.hash !== resource.hash);
    const removed = [...from.keys()].filter(name => !to.has(name));
    return [...changed.map(resource => resource.name), ...removed].sort();
}

/** Creates the delta that brings the given names to their state in `to`. */
export function createDelta(fromRoot: string, toRoot: string, names: readonly string[], to: Resources): VersionDelta {
    return {
        changed: names.flatMap(name => to.get(name) ?? []),
        fromRoot,
        removed: names.filter(name => !to.has(name)),
        toRoot,
    };
}

/** Computes the delta between two sets of resources. */
export function computeDelta(from: Resources, to: Resources): VersionDelta {
    return createDelta(computeRootHash(from), computeRootHash(to), listChangedNames(from, to), to);
}

/** Finds a resource whose content does not have the hash that it states. */
export function findHashMismatch(resources: Iterable<Resource>): Resource | undefined {
    return [...resources].find(resource => computeHash(resource.content) !== resource.hash);
}

/**
 * Applies a delta to a copy of the resources with the root hash `root`. Resources that the delta
 * doesn't touch are shared with the copy. The result has exactly the root hash that the delta states.
 */
export function applyDelta(
    resources: Resources,
    root: string,
    delta: VersionDelta,
): Either<VersionMismatch, Resources> {
    if (delta.fromRoot !== root) {
        return Left({ detail: `The delta starts at root ${delta.fromRoot}, not ${root}.`, kind: "base" });
    }
    const mismatched = findHashMismatch(delta.changed);
    if (mismatched !== undefined) {
        return Left({ detail: `The content of "${mismatched.name}" has another hash.`, kind: "content" });
    }
    const applied = new Map(resources);
    for (const name of delta.removed) {
        applied.delete(name);
    }
    for (const resource of delta.changed) {
        applied.set(resource.name, resource);
    }
    const appliedRoot = computeRootHash(applied);
    return appliedRoot === delta.toRoot
        ? Right(applied)
        : Left({ detail: `The delta led to root ${appliedRoot}, not ${delta.toRoot}.`, kind: "root" });
}
