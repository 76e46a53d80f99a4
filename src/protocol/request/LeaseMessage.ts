import { parseLoadReport } from "./LoadReport.js";
import type { LoadReport } from "./LoadReport.js";

/** Path on the relay port for lease renewals; relayed requests differ from them by their target header. */
export const LEASE_RENEWAL_PATH = "/.papayaturn/leases";

/** Maximum size of a renewal or of its answer. */
export const LEASE_MESSAGE_MAXIMUM_BYTES = 4_096;

/** Lease renewal that a daemon sends to the owner of a server once a second while it uses that server. */
export interface LeaseRenewal {
    /** Daemon that requests the lease. */
    readonly holder: string;
    /** Daemon that owns the server; it refuses a renewal for another owner. */
    readonly owner: string;
    readonly service: string;
    /** Slots that the holder requests; 0 returns the lease. */
    readonly wanted: number;
    /** Slots in use by running requests of the holder. */
    readonly inUse: number;
    /** Requests sent to the server since the last renewal. */
    readonly sent: number;
}

export interface LeaseAnswer {
    /** Slots leased for `LEASE_MS` from the time the renewal was sent; 0 ends the lease. */
    readonly granted: number;
    readonly load: LoadReport;
}

const NAME_MAXIMUM_LENGTH = 256;
const MAXIMUM_COUNT = 1_000_000;

function isName(value: unknown): value is string {
    return typeof value === "string" && value.length > 0 && value.length <= NAME_MAXIMUM_LENGTH;
}

function isCount(value: unknown): value is number {
    return typeof value === "number" && Number.isInteger(value) && value >= 0 && value <= MAXIMUM_COUNT;
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        const value: unknown = JSON.parse(text);
        return typeof value === "object" && value !== null ? value as Record<string, unknown> : undefined;
    }
    catch {
        return undefined;
    }
}

/** Parses and validates a renewal; undefined when it is malformed. */
export function parseLeaseRenewal(text: string): LeaseRenewal | undefined {
    const value = parseObject(text);
    if (
        value === undefined || !isName(value.holder) || !isName(value.owner) || !isName(value.service)
        || !isCount(value.wanted) || !isCount(value.inUse) || !isCount(value.sent)
    ) {
        return undefined;
    }
    return {
        holder: value.holder,
        owner: value.owner,
        service: value.service,
        wanted: value.wanted,
        inUse: value.inUse,
        sent: value.sent,
    };
}

/** Parses and validates an owner's answer; undefined when it is malformed. */
export function parseLeaseAnswer(text: string, load: string | undefined): LeaseAnswer | undefined {
    const value = parseObject(text);
    const report = parseLoadReport(load);
    return value !== undefined && report !== undefined && isCount(value.granted)
        ? { granted: value.granted, load: report }
        : undefined;
}
