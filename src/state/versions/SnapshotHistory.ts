/** The last versions that a daemon held, as far as deltas to the newest one need them. */
import type { Snapshot, VersionDelta } from "./Version.js";
import { SNAPSHOT_HISTORY_LENGTH } from "./VersionConstants.js";
import { createDelta, listChangedNames } from "./VersionDeltas.js";

/** An older version and the names that differ between it and the one held after it. */
interface OlderVersion {
    readonly version: number;
    readonly root: string;
    readonly changedNames: readonly string[];
}

/**
 * The newest version whole, and older ones as the names that changed after them: 64 maps of all
 * resources would take more memory than a daemon may use.
 */
export interface SnapshotHistory {
    readonly newest: Snapshot;
    readonly olderVersions: readonly OlderVersion[];
}

/** Adds a newer version; the oldest one is dropped when the ring is full. */
export function addSnapshot(ring: SnapshotHistory | undefined, snapshot: Snapshot): SnapshotHistory {
    if (ring === undefined) {
        return { newest: snapshot, olderVersions: [] };
    }
    const { newest } = ring;
    const step = {
        changedNames: listChangedNames(newest.resources, snapshot.resources),
        root: newest.manifest.root,
        version: newest.manifest.version,
    };
    return { newest: snapshot, olderVersions: [...ring.olderVersions, step].slice(-(SNAPSHOT_HISTORY_LENGTH - 1)) };
}

/**
 * Computes the delta from a version of the ring to the newest one; undefined when the version is
 * not in the ring. A resource that changed and changed back is contained, which does no harm.
 */
export function computeDeltaToNewest(ring: SnapshotHistory, fromRoot: string): VersionDelta | undefined {
    const { manifest, resources } = ring.newest;
    if (fromRoot === manifest.root) {
        return createDelta(fromRoot, manifest.root, [], resources);
    }
    const first = ring.olderVersions.findLastIndex(step => step.root === fromRoot);
    if (first < 0) {
        return undefined;
    }
    const names = new Set(ring.olderVersions.slice(first).flatMap(step => step.changedNames));
    return createDelta(fromRoot, manifest.root, [...names].sort(), resources);
}
