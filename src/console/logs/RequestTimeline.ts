/** Reconstructs the timeline of a request from the log lines of several daemons. */

import { isFingerprint } from "../../protocol/request/index.js";

/** A line of a daemon's log, as `transport/logging` writes it. */
export interface LogLine {
    /** Time in ISO 8601. */
    readonly time: string;
    readonly daemon: string;
    /** Part of the daemon and message, for example `gate: server i-1 is ready.` */
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** Log lines that explain a request, each list in order of time. */
export interface RequestTimeline {
    /** Lines that name the request. */
    readonly own: readonly LogLine[];
    /** Context lines of the daemons involved, from shortly before the request began until its end. */
    readonly around: readonly LogLine[];
    /** Crashes and verdicts, of all daemons, on a request that was rejected since it crashes servers. */
    readonly crashes: readonly LogLine[];
    /** Last configuration line, before the end of the request, of the daemon that logged its end. */
    readonly configuration: LogLine | undefined;
}

/** Time before a request in which a change of a server, session or the store may explain its outcome. */
const CONTEXT_WINDOW_MS = 3_000;
const PART_PATTERN = /^([a-z]+): /;
/** Parts whose log lines show what a daemon knew of servers, sessions, members, configuration and store. */
const CONTEXT_PARTS: ReadonlySet<string> = new Set(["gate", "sessions", "members", "daemon", "configuration", "store"]);

/** Part of the lines on crashes of servers; they name requests by their fingerprints. */
const CRASH_PART = "quarantine";

/** Parses a line; undefined when it is not a complete line of a daemon's log. */
export function parseLogLine(text: string): LogLine | undefined {
    try {
        const fields: unknown = JSON.parse(text);
        return typeof fields === "object" && fields !== null
                && ["time", "daemon", "msg"].every(name => typeof (fields as LogLine)[name] === "string")
            ? fields as LogLine
            : undefined;
    }
    catch {
        // The last line of a terminated process may be truncated, and other programs may write to the same stream.
        return undefined;
    }
}

/** Collects the lines that explain a request; undefined when no line names it. */
export function collectTimeline(lines: readonly LogLine[], requestId: string): RequestTimeline | undefined {
    const sorted = [...lines].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
    const own = sorted.filter(line => line["requestId"] === requestId);
    const end = own.at(-1);
    if (end === undefined) {
        return undefined;
    }
    const endsAt = Date.parse(end.time);
    // The log has no latency for requests that were refused or rejected as soon as they were read.
    const beginsAt = typeof end["latencyMs"] === "number" ? endsAt - end["latencyMs"] : endsAt;
    const daemons = new Set([...own.map(({ daemon }) => daemon), ...own.flatMap(listServers)]);
    const isContext = (line: LogLine): boolean => CONTEXT_PARTS.has(PART_PATTERN.exec(line.msg)?.[1] ?? "");
    const around = sorted.filter(line => {
        const at = Date.parse(line.time);
        const isRelated = daemons.has(line.daemon) || [...daemons].some(daemon => line.msg.includes(`${daemon} `));
        return isContext(line) && isRelated && at >= beginsAt - CONTEXT_WINDOW_MS && at <= endsAt;
    });
    const configuration = sorted.findLast(line =>
        line.daemon === end.daemon && line.msg.startsWith("configuration: ") && Date.parse(line.time) <= endsAt
    );
    return { around, configuration, crashes: listCrashes(sorted, own, endsAt), own };
}

/** Lists the lines on crashes, up to the end of a request, that name a fingerprint which one of its own lines names. */
function listCrashes(sorted: readonly LogLine[], own: readonly LogLine[], endsAt: number): readonly LogLine[] {
    const words = own.flatMap(({ detail }) => typeof detail === "string" ? detail.split(" ") : []);
    const fingerprints = words.filter(isFingerprint);
    return sorted.filter(line =>
        line.msg.startsWith(`${CRASH_PART}: `) && Date.parse(line.time) <= endsAt
        && fingerprints.some(fingerprint => JSON.stringify(line).includes(fingerprint))
    );
}

/** Formats the lines of a timeline as text, in order of time. */
export function formatTimeline(timeline: RequestTimeline): readonly string[] {
    const lines = new Set([
        ...timeline.configuration === undefined ? [] : [timeline.configuration],
        ...timeline.crashes,
        ...timeline.around,
        ...timeline.own,
    ]);
    return [...lines]
        .sort((left, right) => Date.parse(left.time) - Date.parse(right.time))
        .flatMap(line => [`${line.time} ${line.daemon} ${line.msg}${formatOutcome(line)}`, ...formatPlacements(line)]);
}

function formatOutcome(line: LogLine): string {
    const { detail, latencyMs, queuedMs, revision, status, version } = line;
    if (status === undefined) {
        return "";
    }
    const because = typeof detail === "string" ? `: ${detail}` : "";
    const times = `${formatField(latencyMs)} ms, ${formatField(queuedMs)} ms of them waiting for a slot`;
    const decidedBy = version === undefined ? "" : `version ${formatField(version)}, `;
    return ` Status ${formatField(status)}${because}; ${times}; ${decidedBy}revision ${formatField(revision)}.`;
}

function formatPlacements(line: LogLine): readonly string[] {
    return readPlacements(line).map(({ cause, end, expectedMs, loadAgeMs, queued, running, server }) => {
        const load = `${formatField(running)} running and ${formatField(queued)} waiting`;
        return `  placed at ${formatField(server)} (${formatField(cause)}): ${
            formatField(expectedMs)
        } ms expected, ${load} `
            + `${formatField(loadAgeMs)} ms before; ${String(end ?? "no end was seen")}`;
    });
}

function listServers(line: LogLine): readonly string[] {
    return [line["server"], ...readPlacements(line).map(({ server }) => server)]
        .filter(server => typeof server === "string");
}

function readPlacements(line: LogLine): readonly Record<string, unknown>[] {
    return Array.isArray(line["placements"]) ? line["placements"] as readonly Record<string, unknown>[] : [];
}

function formatField(value: unknown): string {
    return value === undefined ? "?" : String(value);
}
