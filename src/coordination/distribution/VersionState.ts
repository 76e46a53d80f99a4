import type { MeshDocument } from "../../state/document/index.js";
import { addSnapshot as addToHistory } from "../../state/versions/index.js";
import type { Snapshot, SnapshotHistory } from "../../state/versions/index.js";
import type { ConfigurationInForce } from "../../state/view/index.js";

/** Received versions above the one in force that are kept whole; others are only known by what they changed. */
const MAXIMUM_PENDING_SNAPSHOTS = 8;

/** Result of preparing a version for use on this daemon. */
export type Preparation =
    | { readonly kind: "ready"; readonly document: MeshDocument; }
    /** Something the version depends on is missing here. */
    | { readonly kind: "waiting"; readonly reasons: readonly string[]; };

/**
 * The versions that one daemon holds and how far each may be used. Versions pass from received to
 * released to in force; the version in force only rises. See docs/design.md, 2.3.
 */
export interface VersionState {
    /** Received versions above the one in force, oldest first; each complete and checked. */
    readonly pending: readonly Snapshot[];
    /** The newest received version and the changes that led to it. */
    readonly history: SnapshotHistory | undefined;
    /** Highest version that may be put in force. */
    readonly released: number;
    /** False when the highest release was given without a second failure domain. */
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

/** The newest version held whole. */
export function getNewestSnapshot(ledger: VersionState): Snapshot | undefined {
    return ledger.history?.newest;
}

export function getReceivedVersion(ledger: VersionState): number {
    return getNewestSnapshot(ledger)?.manifest.version ?? 0;
}

/** Takes in a checked version; an older or equal one changes nothing. */
export function addSnapshot(ledger: VersionState, snapshot: Snapshot): VersionState {
    if (snapshot.manifest.version <= getReceivedVersion(ledger)) {
        return ledger;
    }
    return {
        ...ledger,
        pending: [...ledger.pending, snapshot].slice(-MAXIMUM_PENDING_SNAPSHOTS),
        history: addToHistory(ledger.history, snapshot),
    };
}

/** Raises the released version; a lower or equal one changes nothing. */
export function raiseReleased(ledger: VersionState, version: number, isWitnessed: boolean): VersionState {
    return version > ledger.released ? { ...ledger, isWitnessed, released: version } : ledger;
}

/** Settles the daemon, or raises its floor. */
export function raiseFloor(ledger: VersionState, floor: number): VersionState {
    return ledger.floor === undefined || floor > ledger.floor ? { ...ledger, floor } : ledger;
}

/**
 * Puts the newest usable version in force: settled, released, not below the floor, newer than the
 * one in force, and with everything it depends on.
 */
export function advanceInForce(ledger: VersionState, prepare: (snapshot: Snapshot) => Preparation): VersionState {
    const lowest = Math.max(ledger.floor ?? Infinity, (ledger.inForce?.version ?? 0) + 1);
    const usable = ledger.pending.filter(({ manifest }) =>
        manifest.version >= lowest && manifest.version <= ledger.released
    );
    let waiting: readonly string[] = [];
    for (const snapshot of usable.toReversed()) {
        const preparation = prepare(snapshot);
        if (preparation.kind === "ready") {
            const { root, version } = snapshot.manifest;
            return {
                ...ledger,
                inForce: { document: preparation.document, root, version },
                pending: ledger.pending.filter(({ manifest }) => manifest.version > version),
                waiting,
            };
        }
        waiting = waiting.length === 0 ? preparation.reasons : waiting;
    }
    return { ...ledger, waiting };
}
