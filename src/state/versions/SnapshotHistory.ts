/** Recent versions that a daemon held, reduced to what deltas to the newest one need. */
import type { Snapshot, VersionDelta } from "./Version.js";
import { SNAPSHOT_HISTORY_LENGTH } from "./VersionConstants.js";
import { createDelta, listChangedNames } from "./VersionDeltas.js";

/** An older version and the names of the resources that differ in the version held after it. */
interface OlderVersion {
    readonly version: number;
    readonly root: string;
    readonly changedNames: readonly string[];
}

/**
 * The newest version in full, and older ones as the names of the resources changed after them: 64 maps
 * of all resources would exceed a daemon's memory limit.
 */
export interface SnapshotHistory {
    readonly newest: Snapshot;
    readonly olderVersions: readonly OlderVersion[];
}

/** Adds a newer version and drops the oldest one if the history is full. */
export function addSnapshot(history: SnapshotHistory | undefined, snapshot: Snapshot): SnapshotHistory {
    if (history === undefined) {
        return { newest: snapshot, olderVersions: [] };
    }
    const { newest } = history;
    const olderVersion = {
        changedNames: listChangedNames(newest.resources, snapshot.resources),
        root: newest.manifest.root,
        version: newest.manifest.version,
    };
    return {
        newest: snapshot,
        olderVersions: [...history.olderVersions, olderVersion].slice(-(SNAPSHOT_HISTORY_LENGTH - 1)),
    };
}

/**
 * Computes the delta from a version of the history to the newest one; undefined if the version is
 * not in the history. A resource that changed and changed back is included, which is harmless.
 */
export function computeDeltaToNewest(history: SnapshotHistory, fromRoot: string): VersionDelta | undefined {
    const { manifest, resources } = history.newest;
    if (fromRoot === manifest.root) {
        return createDelta(fromRoot, manifest.root, [], resources);
    }
    const first = history.olderVersions.findLastIndex(older => older.root === fromRoot);
    if (first < 0) {
        return undefined;
    }
    const names = new Set(history.olderVersions.slice(first).flatMap(older => older.changedNames));
    return createDelta(fromRoot, manifest.root, [...names].sort(), resources);
}
