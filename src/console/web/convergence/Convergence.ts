/** Computes what the convergence view shows from the accepted version and the status of the regions. */
import type { WaitingCount } from "../../../coordination/summary/index.js";
import type { AcceptedDocument, DomainStatus, MeshSummary, RegionStatus } from "../ports/index.js";

/** Share of some daemons that have the accepted version in force. */
export interface Share {
    readonly inForce: number;
    readonly daemons: number;
}

export interface DomainConvergence extends Share {
    readonly failureDomain: string;
    readonly cutOffSince: number | undefined;
    /** False when no relay reports this failure domain. */
    readonly isReported: boolean;
}

export interface RegionConvergence extends Share {
    readonly region: string;
    readonly domains: readonly DomainConvergence[];
}

export interface ScarceService {
    readonly service: string;
    readonly live: number;
    readonly planned: number;
}

export interface Convergence {
    readonly version: number;
    readonly author: string;
    readonly message: string;
    /** Time since acceptance, milliseconds. */
    readonly ageMs: number;
    readonly mesh: Share;
    readonly regions: readonly RegionConvergence[];
    readonly unsettled: number;
    readonly waiting: readonly WaitingCount[];
    readonly scarceServices: readonly ScarceService[];
    readonly controlBytes: number;
    readonly controlBytesAcrossRegions: number;
    /** False while no relay has written a status. */
    readonly isReported: boolean;
}

type VersionCounts = Pick<MeshSummary, "daemons" | "versions">;

function computeShare({ daemons, versions }: VersionCounts, accepted: number): Share {
    const newest = versions.filter(entry => entry.version >= accepted);
    return { daemons, inForce: newest.reduce((total, entry) => total + entry.daemons, 0) };
}

function sumShares(shares: readonly Share[]): Share {
    return {
        daemons: shares.reduce((total, share) => total + share.daemons, 0),
        inForce: shares.reduce((total, share) => total + share.inForce, 0),
    };
}

/**
 * Each region's relay reports the whole mesh as far as it can see. The report that covers most
 * daemons is used, so that a region that was cut off doesn't hide the others.
 */
function chooseWidest(statuses: readonly RegionStatus[]): MeshSummary | undefined {
    return statuses.map(status => status.summary)
        .reduce<MeshSummary | undefined>((widest, summary) => {
            return widest === undefined || summary.daemons > widest.daemons ? summary : widest;
        }, undefined);
}

/** Finds the status of a failure domain; its own region's report is the most recent one. */
function findDomain(statuses: readonly RegionStatus[], region: string, domain: string): DomainStatus | undefined {
    const ordered = [...statuses].sort((a, b) => Number(b.region === region) - Number(a.region === region));
    return ordered.flatMap(status => status.summary.failureDomains).find(status => status.failureDomain === domain);
}

function computeDomain(
    statuses: readonly RegionStatus[],
    region: string,
    failureDomain: string,
    accepted: number,
): DomainConvergence {
    const status = findDomain(statuses, region, failureDomain);
    const cutOffSince = statuses
        .flatMap(entry => entry.summary.failureDomains)
        .find(entry => entry.failureDomain === failureDomain && entry.cutOffSince !== undefined)?.cutOffSince;
    return {
        ...(status === undefined ? { daemons: 0, inForce: 0 } : computeShare(status, accepted)),
        cutOffSince,
        failureDomain,
        isReported: status !== undefined,
    };
}

function listScarceServices(accepted: AcceptedDocument, summary: MeshSummary | undefined): readonly ScarceService[] {
    return (summary?.services ?? []).flatMap(({ live, service }) => {
        const servers = accepted.document.services[service]?.servers ?? {};
        const planned = Object.values(servers).reduce((total, count) => total + count, 0);
        return live < planned ? [{ live, planned, service }] : [];
    });
}

/** Computes the view at a time. */
export function computeConvergence(
    accepted: AcceptedDocument,
    statuses: readonly RegionStatus[],
    now: number,
): Convergence {
    const widest = chooseWidest(statuses);
    const regions = Object.entries(accepted.document.mesh.regions).map(([region, { failureDomains }]) => {
        const domains = failureDomains.map(domain => computeDomain(statuses, region, domain, accepted.version));
        return { ...sumShares(domains), domains, region };
    });
    return {
        ageMs: Math.max(0, now - accepted.time),
        author: accepted.author,
        controlBytes: widest?.controlBytes ?? 0,
        controlBytesAcrossRegions: widest?.controlBytesAcrossRegions ?? 0,
        isReported: widest !== undefined,
        mesh: widest === undefined ? { daemons: 0, inForce: 0 } : computeShare(widest, accepted.version),
        message: accepted.message,
        regions,
        scarceServices: listScarceServices(accepted, widest),
        unsettled: widest?.unsettled ?? 0,
        version: accepted.version,
        waiting: widest?.waiting ?? [],
    };
}
