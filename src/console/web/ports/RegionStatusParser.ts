/** Parses status objects `status/<region>`; missing or malformed counts are 0 and malformed lists empty. */
import type {
    CutOffStatus,
    DomainCount,
    RegionStatus,
    ScarceService,
    VersionCount,
} from "../../../coordination/summary/index.js";

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

function parseVersions(value: unknown): readonly VersionCount[] {
    return toList(value).map(entry => ({ daemons: toCount(entry["daemons"]), version: toCount(entry["version"]) }));
}

function parseDomain(entry: Fields): DomainCount {
    return {
        daemons: toCount(entry["daemons"]),
        failureDomain: String(entry["failureDomain"]),
        versions: parseVersions(entry["versions"]),
    };
}

function parseCutOff(entry: Fields): CutOffStatus {
    return { failureDomain: String(entry["failureDomain"]), forMs: toCount(entry["forMs"]) };
}

function parseScarceService(entry: Fields): ScarceService {
    return {
        live: toCount(entry["live"]),
        planned: toCount(entry["planned"]),
        service: String(entry["service"]),
    };
}

/** Parses the value of a status object; undefined when it is not a JSON object. */
export function parseRegionStatus(text: string): RegionStatus | undefined {
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
        cutOff: toList(fields["cutOff"]).map(parseCutOff),
        daemons: toCount(fields["daemons"]),
        failureDomains: toList(fields["failureDomains"]).map(parseDomain),
        scarceServices: toList(fields["scarceServices"]).map(parseScarceService),
        unsettled: toCount(fields["unsettled"]),
        versions: parseVersions(fields["versions"]),
        waiting: toList(fields["waiting"]).map(entry => ({
            daemons: toCount(entry["daemons"]),
            reason: String(entry["reason"]),
        })),
    };
}
