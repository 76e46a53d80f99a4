import type { MeshDocument } from "../../state/document/index.js";
import { addSnapshot as addToHistory } from "../../state/versions/index.js";
import type { Snapshot, SnapshotHistory } from "../../state/versions/index.js";
import type { ConfigurationInForce } from "../../state/view/index.js";

/** Received versions above the one in force that are kept completely; of older ones only the changes are kept. */
const MAXIMUM_PENDING_SNAPSHOTS = 8;

/** Result of preparing a version for use on this daemon. */
export type Preparation =
    | { readonly kind: "ready"; readonly document: MeshDocument; }
    /** Something the version depends on is missing here. */
    | { readonly kind: "waiting"; readonly reasons: readonly string[]; };

/**
 * The versions that one daemon holds and the stage of each: received, released or in force. The
 * version in force never decreases. See docs/design.md, 2.3.
 */
export interface VersionState {
    /** Received versions above the one in force, oldest first; each complete and checked. */
    readonly pending: readonly Snapshot[];
    /** The newest received version and the changes that led to it. */
    readonly history: SnapshotHistory | undefined;
    /** Highest version that may be put in force. */
    readonly released: number;
    /** False if the highest released version was released without a second failure domain. */
    readonly isWitnessed: boolean;
    /** Lowest version that may be put in force; undefined while the daemon is unsettled. */
    readonly floor: number | undefined;
    readonly inForce: ConfigurationInForce | undefined;
    /** Why the newest released version is not in force. */
    readonly waiting: readonly string[];
}

export const EMPTY_VERSION_STATE: VersionState = {
    floor: undefined,
    inForce: undefined,
    isWitnessed: true,
    pending: [],
    released: 0,
    history: undefined,
    waiting: [],
};

/** Returns the newest version that is held completely. */
export function getNewestSnapshot(state: VersionState): Snapshot | undefined {
    return state.history?.newest;
}

export function getReceivedVersion(state: VersionState): number {
    return getNewestSnapshot(state)?.manifest.version ?? 0;
}

/** Adds a verified version; an older or equal one changes nothing. */
export function addSnapshot(state: VersionState, snapshot: Snapshot): VersionState {
    if (snapshot.manifest.version <= getReceivedVersion(state)) {
        return state;
    }
    return {
        ...state,
        pending: [...state.pending, snapshot].slice(-MAXIMUM_PENDING_SNAPSHOTS),
        history: addToHistory(state.history, snapshot),
    };
}

/** Raises the released version; a lower or equal one changes nothing. */
export function raiseReleased(state: VersionState, version: number, isWitnessed: boolean): VersionState {
    return version > state.released ? { ...state, isWitnessed, released: version } : state;
}

/** Raises the floor; the first floor settles the daemon. */
export function raiseFloor(state: VersionState, floor: number): VersionState {
    return state.floor === undefined || floor > state.floor ? { ...state, floor } : state;
}

/**
 * Puts the newest usable version in force. A version is usable on a settled daemon if it is released,
 * not below the floor, newer than the one in force, and all its dependencies are present.
 */
export function advanceInForce(state: VersionState, prepare: (snapshot: Snapshot) => Preparation): VersionState {
    const lowest = Math.max(state.floor ?? Infinity, (state.inForce?.version ?? 0) + 1);
    const usable = state.pending.filter(({ manifest }) =>
        manifest.version >= lowest && manifest.version <= state.released
    );
    let waiting: readonly string[] = [];
    for (const snapshot of usable.toReversed()) {
        const preparation = prepare(snapshot);
        if (preparation.kind === "ready") {
            const { root, version } = snapshot.manifest;
            return {
                ...state,
                inForce: { document: preparation.document, root, version },
                pending: state.pending.filter(({ manifest }) => manifest.version > version),
                waiting,
            };
        }
        waiting = waiting.length === 0 ? preparation.reasons : waiting;
    }
    return { ...state, waiting };
}
