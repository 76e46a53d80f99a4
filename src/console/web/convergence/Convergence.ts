/** Computes the content of the convergence page from the accepted version and the status of the regions. */
import type {
    DomainCount,
    RegionStatus,
    ScarceService,
    VersionCount,
    WaitingCount,
} from "../../../coordination/summary/index.js";
import type { AcceptedDocument, ReportedStatus } from "../ports/index.js";

/** How many of a set of daemons have the accepted version, or a newer one, in force. */
export interface DaemonShare {
    readonly inForce: number;
    readonly daemons: number;
}

export interface DomainConvergence extends DaemonShare {
    readonly failureDomain: string;
    /** Milliseconds since the failure domain was last reachable; undefined while it is reachable. */
    readonly cutOffForMs: number | undefined;
    /** False when no relay reports this failure domain. */
    readonly isReported: boolean;
}

export interface RegionConvergence extends DaemonShare {
    readonly region: string;
    readonly domains: readonly DomainConvergence[];
}

export interface Convergence {
    readonly version: number;
    readonly author: string;
    readonly message: string;
    /** Milliseconds since the version was accepted. */
    readonly ageMs: number;
    readonly mesh: DaemonShare;
    readonly regions: readonly RegionConvergence[];
    readonly unsettled: number;
    readonly waiting: readonly WaitingCount[];
    readonly scarceServices: readonly ScarceService[];
    readonly controlBytes: number;
    readonly controlBytesAcrossRegions: number;
    /** False while no relay has written a status. */
    readonly isReported: boolean;
}

interface VersionCounts {
    readonly daemons: number;
    readonly versions: readonly VersionCount[];
}

function computeShare({ daemons, versions }: VersionCounts, accepted: number): DaemonShare {
    const newest = versions.filter(entry => entry.version >= accepted);
    return { daemons, inForce: newest.reduce((total, entry) => total + entry.daemons, 0) };
}

function sumShares(shares: readonly DaemonShare[]): DaemonShare {
    return {
        daemons: shares.reduce((total, share) => total + share.daemons, 0),
        inForce: shares.reduce((total, share) => total + share.inForce, 0),
    };
}

/**
 * Each region's relay reports the part of the mesh that it can reach. The report with the most
 * daemons is used, so that a region that is cut off doesn't hide the others.
 */
function selectLargestReport(reported: readonly ReportedStatus[]): RegionStatus | undefined {
    return reported.map(({ status }) => status)
        .reduce<RegionStatus | undefined>((largest, status) => {
            return largest === undefined || status.daemons > largest.daemons ? status : largest;
        }, undefined);
}

/** Finds the counts of a failure domain, first in the report of its own region, which is the most recent. */
function findDomainCounts(
    reported: readonly ReportedStatus[],
    region: string,
    failureDomain: string,
): DomainCount | undefined {
    const ordered = [...reported].sort((a, b) => Number(b.region === region) - Number(a.region === region));
    return ordered
        .flatMap(({ status }) => status.failureDomains ?? [])
        .find(count => count.failureDomain === failureDomain);
}

/** Finds how long a failure domain has been cut off, as the rest of the mesh reports it. */
function findCutOffDuration(reported: readonly ReportedStatus[], failureDomain: string): number | undefined {
    return reported
        .flatMap(({ status }) => status.cutOff)
        .find(entry => entry.failureDomain === failureDomain)?.forMs;
}

function computeDomainConvergence(
    reported: readonly ReportedStatus[],
    region: string,
    failureDomain: string,
    accepted: number,
): DomainConvergence {
    const counts = findDomainCounts(reported, region, failureDomain);
    return {
        ...(counts === undefined ? { daemons: 0, inForce: 0 } : computeShare(counts, accepted)),
        cutOffForMs: findCutOffDuration(reported, failureDomain),
        failureDomain,
        isReported: counts !== undefined,
    };
}

/** Computes the convergence of the accepted version at the time `now`. */
export function computeConvergence(
    accepted: AcceptedDocument,
    reported: readonly ReportedStatus[],
    now: number,
): Convergence {
    const largest = selectLargestReport(reported);
    const regions = Object.entries(accepted.document.mesh.regions).map(([region, { failureDomains }]) => {
        const domains = failureDomains.map(domain =>
            computeDomainConvergence(reported, region, domain, accepted.version)
        );
        return { ...sumShares(domains), domains, region };
    });
    return {
        ageMs: Math.max(0, now - accepted.time),
        author: accepted.author,
        controlBytes: largest?.controlBytes ?? 0,
        controlBytesAcrossRegions: largest?.controlBytesAcrossRegions ?? 0,
        isReported: largest !== undefined,
        mesh: largest === undefined ? { daemons: 0, inForce: 0 } : computeShare(largest, accepted.version),
        message: accepted.message,
        regions,
        scarceServices: largest?.scarceServices ?? [],
        unsettled: largest?.unsettled ?? 0,
        version: accepted.version,
        waiting: largest?.waiting ?? [],
    };
}
