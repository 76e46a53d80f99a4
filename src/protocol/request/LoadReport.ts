/** Load of a backend server, which its owner reports with each relayed answer and lease renewal. */
export interface LoadReport {
    /** Slots in use, without leased slots that are idle. */
    readonly used: number;
    readonly slots: number;
    readonly queued: number;
    /** Last result of the server's health endpoint; it never removes a server by itself. */
    readonly healthy: boolean;
}

/** Formats as `used/slots/queued/healthy`, for example `3/12/0/1`. */
export function formatLoadReport(load: LoadReport): string {
    return `${load.used}/${load.slots}/${load.queued}/${load.healthy ? 1 : 0}`;
}

const LOAD_PATTERN = /^(\d{1,6})\/(\d{1,6})\/(\d{1,6})\/([01])$/;

export function parseLoadReport(text: string | undefined): LoadReport | undefined {
    const match = text === undefined ? null : LOAD_PATTERN.exec(text);
    return match === null
        ? undefined
        : { used: Number(match[1]), slots: Number(match[2]), queued: Number(match[3]), healthy: match[4] === "1" };
}
