/** Maximum number of versions, and of waiting reasons, in a summary. */
export const SUMMARY_ENTRIES_LIMIT = 8;

/** Maximum number of failure domains in a summary; the largest planned mesh has 13. */
export const SUMMARY_DOMAINS_LIMIT = 64;

/** Number of daemons with one version in force; version 0 means none. */
export interface VersionCount {
    readonly version: number;
    readonly daemons: number;
}

/** Number of daemons that wait to put a version in force for one reason. */
export interface WaitingCount {
    readonly reason: string;
    readonly daemons: number;
}

/** Counts of the daemons of one failure domain. */
export interface DomainCount {
    readonly failureDomain: string;
    readonly daemons: number;
    /** The newest versions first. */
    readonly versions: readonly VersionCount[];
}

/** Summary that a subtree of daemons reports to its parent; all counts are sums over the subtree. */
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
    /** Sorted by name; omitted below a domain relay, where all daemons are in one failure domain. */
    readonly failureDomains?: readonly DomainCount[];
}

export const EMPTY_SUMMARY: MeshSummary = {
    controlBytes: 0,
    controlBytesAcrossRegions: 0,
    daemons: 0,
    unsettled: 0,
    versions: [],
    waiting: [],
};

/** Adds the count of a failure domain to which all daemons of the summary belong. */
export function withDomainCount(summary: MeshSummary, failureDomain: string): MeshSummary {
    const { daemons, versions } = summary;
    return { ...summary, failureDomains: [{ daemons, failureDomain, versions }] };
}

/** Merges the summaries of disjoint subtrees. */
export function mergeSummaries(summaries: readonly MeshSummary[]): MeshSummary {
    const waiting = new Map<string, number>();
    for (const summary of summaries) {
        summary.waiting.forEach(entry => addCount(waiting, entry.reason, entry.daemons));
    }
    const domains = summaries.flatMap(summary => summary.failureDomains ?? []);
    return {
        controlBytes: sumField(summaries, summary => summary.controlBytes),
        controlBytesAcrossRegions: sumField(summaries, summary => summary.controlBytesAcrossRegions),
        daemons: sumField(summaries, summary => summary.daemons),
        ...(domains.length === 0 ? {} : { failureDomains: mergeDomains(domains) }),
        unsettled: sumField(summaries, summary => summary.unsettled),
        versions: mergeVersions(summaries.flatMap(summary => summary.versions)),
        waiting: [...waiting]
            .map(([reason, daemons]) => ({ daemons, reason }))
            .sort((a, b) => b.daemons - a.daemons || (a.reason < b.reason ? -1 : 1))
            .slice(0, SUMMARY_ENTRIES_LIMIT),
    };
}

function mergeVersions(counts: readonly VersionCount[]): readonly VersionCount[] {
    const versions = new Map<number, number>();
    counts.forEach(entry => addCount(versions, entry.version, entry.daemons));
    return [...versions]
        .map(([version, daemons]) => ({ daemons, version }))
        .sort((a, b) => b.version - a.version)
        .slice(0, SUMMARY_ENTRIES_LIMIT);
}

function mergeDomains(counts: readonly DomainCount[]): readonly DomainCount[] {
    const domains = new Map<string, DomainCount>();
    for (const entry of counts) {
        const held = domains.get(entry.failureDomain);
        domains.set(entry.failureDomain, {
            daemons: (held?.daemons ?? 0) + entry.daemons,
            failureDomain: entry.failureDomain,
            versions: mergeVersions([...held?.versions ?? [], ...entry.versions]),
        });
    }
    return [...domains.values()]
        .sort((a, b) => a.failureDomain < b.failureDomain ? -1 : 1)
        .slice(0, SUMMARY_DOMAINS_LIMIT);
}

function addCount<K>(counts: Map<K, number>, key: K, count: number): void {
    counts.set(key, (counts.get(key) ?? 0) + count);
}

function sumField(summaries: readonly MeshSummary[], read: (summary: MeshSummary) => number): number {
    return summaries.reduce((total, summary) => total + read(summary), 0);
}
