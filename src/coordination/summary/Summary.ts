/** Most versions and most waiting reasons that a summary carries. */
export const SUMMARY_ENTRIES_LIMIT = 8;

/** Count of daemons that have one version in force; version 0 stands for none. */
export interface VersionCount {
    readonly version: number;
    readonly daemons: number;
}

/** Count of daemons that hold a version back for one reason. */
export interface WaitingCount {
    readonly reason: string;
    readonly daemons: number;
}

/** What a subtree of daemons reports to its parent; sums are over the subtree. */
export interface MeshSummary {
    readonly daemons: number;
    readonly unsettled: number;
    /** The newest versions first. */
    readonly versions: readonly VersionCount[];
    /** The most frequent reasons first. */
    readonly waiting: readonly WaitingCount[];
    /** Bytes of peer messages sent since each daemon's start. */
    readonly controlBytes: number;
    /** The part of `controlBytes` that was sent to another region. */
    readonly controlBytesAcrossRegions: number;
}

export const EMPTY_SUMMARY: MeshSummary = {
    controlBytes: 0,
    controlBytesAcrossRegions: 0,
    daemons: 0,
    unsettled: 0,
    versions: [],
    waiting: [],
};

/** Adds up the summaries of disjoint subtrees. */
export function mergeSummaries(summaries: readonly MeshSummary[]): MeshSummary {
    const versions = new Map<number, number>();
    const waiting = new Map<string, number>();
    for (const summary of summaries) {
        summary.versions.forEach(entry => addCount(versions, entry.version, entry.daemons));
        summary.waiting.forEach(entry => addCount(waiting, entry.reason, entry.daemons));
    }
    return {
        controlBytes: sumField(summaries, summary => summary.controlBytes),
        controlBytesAcrossRegions: sumField(summaries, summary => summary.controlBytesAcrossRegions),
        daemons: sumField(summaries, summary => summary.daemons),
        unsettled: sumField(summaries, summary => summary.unsettled),
        versions: [...versions]
            .map(([version, daemons]) => ({ daemons, version }))
            .sort((a, b) => b.version - a.version)
            .slice(0, SUMMARY_ENTRIES_LIMIT),
        waiting: [...waiting]
            .map(([reason, daemons]) => ({ daemons, reason }))
            .sort((a, b) => b.daemons - a.daemons || (a.reason < b.reason ? -1 : 1))
            .slice(0, SUMMARY_ENTRIES_LIMIT),
    };
}

function addCount<K>(counts: Map<K, number>, key: K, count: number): void {
    counts.set(key, (counts.get(key) ?? 0) + count);
}

function sumField(summaries: readonly MeshSummary[], read: (summary: MeshSummary) => number): number {
    return summaries.reduce((total, summary) => total + read(summary), 0);
}
