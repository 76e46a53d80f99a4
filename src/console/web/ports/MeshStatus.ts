/** Status objects `status/<region>` as the console reads them: sums that relays wrote, checked leniently. */
import type { MeshSummary as CommonSummary, VersionCount } from "../../../coordination/summary/index.js";

/** Counts of one failure domain. */
export interface DomainStatus {
    readonly failureDomain: string;
    readonly daemons: number;
    readonly versions: readonly VersionCount[];
    /** Time since which no member can be reached, milliseconds; undefined while it is reachable. */
    readonly cutOffSince: number | undefined;
}

export interface ServiceStatus {
    readonly service: string;
    readonly live: number;
}

export interface MeshSummary extends CommonSummary {
    /** Empty when the relay doesn't report failure domains. */
    readonly failureDomains: readonly DomainStatus[];
    /** Live servers of services; empty when the relay doesn't report them. */
    readonly services: readonly ServiceStatus[];
}

type Fields = Readonly<Record<string, unknown>>;

function toFields(value: unknown): Fields {
    return typeof value === "object" && value !== null ? value as Fields : {};
}

function toList(value: unknown): readonly Fields[] {
    return Array.isArray(value) ? value.map(toFields) : [];
}

function toCount(value: unknown): number {
    return typeof value === "number" && Number.isFinite(value) && value >= 0 ? value : 0;
}

function readVersions(value: unknown): readonly VersionCount[] {
    return toList(value).map(entry => ({ daemons: toCount(entry["daemons"]), version: toCount(entry["version"]) }));
}

function readDomain(entry: Fields): DomainStatus {
    const since = entry["cutOffSince"];
    return {
        cutOffSince: typeof since === "number" ? since : undefined,
        daemons: toCount(entry["daemons"]),
        failureDomain: String(entry["failureDomain"]),
        versions: readVersions(entry["versions"]),
    };
}

/** Parses the value of a status object; undefined when it is no JSON object. */
export function parseMeshSummary(text: string): MeshSummary | undefined {
    let value: unknown;
    try {
        value = JSON.parse(text);
    }
    catch {
        return undefined;
    }
    if (typeof value !== "object" || value === null) {
        return undefined;
    }
    const fields = value as Fields;
    return {
        controlBytes: toCount(fields["controlBytes"]),
        controlBytesAcrossRegions: toCount(fields["controlBytesAcrossRegions"]),
        daemons: toCount(fields["daemons"]),
        failureDomains: toList(fields["failureDomains"]).map(readDomain),
        services: toList(fields["services"]).map(entry => ({
            live: toCount(entry["live"]),
            service: String(entry["service"]),
        })),
        unsettled: toCount(fields["unsettled"]),
        versions: readVersions(fields["versions"]),
        waiting: toList(fields["waiting"]).map(entry => ({
            daemons: toCount(entry["daemons"]),
            reason: String(entry["reason"]),
        })),
    };
}
