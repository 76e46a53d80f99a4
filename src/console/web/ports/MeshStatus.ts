/** Reads status objects `status/<region>`; a figure of another shape counts as not reported. */
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

function readVersions(value: unknown): readonly VersionCount[] {
    return toList(value).map(entry => ({ daemons: toCount(entry["daemons"]), version: toCount(entry["version"]) }));
}

function readDomain(entry: Fields): DomainCount {
    return {
        daemons: toCount(entry["daemons"]),
        failureDomain: String(entry["failureDomain"]),
        versions: readVersions(entry["versions"]),
    };
}

function readCutOff(entry: Fields): CutOffStatus {
    return { failureDomain: String(entry["failureDomain"]), forMs: toCount(entry["forMs"]) };
}

function readScarceService(entry: Fields): ScarceService {
    return {
        live: toCount(entry["live"]),
        planned: toCount(entry["planned"]),
        service: String(entry["service"]),
    };
}

/** Parses the value of a status object; undefined when it is no JSON object. */
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
        cutOff: toList(fields["cutOff"]).map(readCutOff),
        daemons: toCount(fields["daemons"]),
        failureDomains: toList(fields["failureDomains"]).map(readDomain),
        scarceServices: toList(fields["scarceServices"]).map(readScarceService),
        unsettled: toCount(fields["unsettled"]),
        versions: readVersions(fields["versions"]),
        waiting: toList(fields["waiting"]).map(entry => ({
            daemons: toCount(entry["daemons"]),
            reason: String(entry["reason"]),
        })),
    };
}
