/** Tells what became of one request from the log lines of several daemons. */

/** One line of a daemon's log, as `transport/logging` writes it. */
export interface LogLine {
    /** ISO 8601. */
    readonly time: string;
    readonly daemon: string;
    /** Part of the daemon and the sentence, as `gate: server i-1 is ready.` */
    readonly msg: string;
    readonly [field: string]: unknown;
}

/** Lines that explain a request, in the order of their time. */
export interface RequestTimeline {
    /** Lines that name the request. */
    readonly own: readonly LogLine[];
    /** Lines of the daemons that had part in it, from shortly before it came until its end. */
    readonly around: readonly LogLine[];
    /** Last change of the configuration on the daemon that took the request. */
    readonly configuration: LogLine | undefined;
}

/** Time before a request in which a change of a server, a session or the store may explain its end. */
const CONTEXT_WINDOW_MS = 3_000;
const PART_PATTERN = /^([a-z]+): /;
/** Parts whose lines tell what a daemon believed. */
const CONTEXT_PARTS: ReadonlySet<string> = new Set(["gate", "sessions", "members", "daemon", "configuration", "store"]);

/** Parses a line; undefined for one that is no line of a daemon's log, for example one that was cut. */
export function parseLogLine(text: string): LogLine | undefined {
    try {
        const fields: unknown = JSON.parse(text);
        return typeof fields === "object" && fields !== null
                && ["time", "daemon", "msg"].every(name => typeof (fields as LogLine)[name] === "string")
            ? fields as LogLine
            : undefined;
    }
    catch {
        // The output of a process that ended may break off in a line, and others may write to the same stream.
        return undefined;
    }
}

/** Undefined when no line names the request. */
export function collectTimeline(lines: readonly LogLine[], requestId: string): RequestTimeline | undefined {
    const sorted = [...lines].sort((left, right) => Date.parse(left.time) - Date.parse(right.time));
    const own = sorted.filter(line => line["requestId"] === requestId);
    const end = own.at(-1);
    if (end === undefined) {
        return undefined;
    }
    const endsAt = Date.parse(end.time);
    // A line without a latency is of a request that was refused or rejected as soon as it was read.
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
    return { around, configuration, own };
}

/** One text line for each step, in the order of time. */
export function formatTimeline(story: RequestTimeline): readonly string[] {
    const lines = new Set([
        ...story.configuration === undefined ? [] : [story.configuration],
        ...story.around,
        ...story.own,
    ]);
    return [...lines]
        .sort((left, right) => Date.parse(left.time) - Date.parse(right.time))
        .flatMap(line => [`${line.time} ${line.daemon} ${line.msg}${formatOutcome(line)}`, ...formatPlacements(line)]);
}

function formatOutcome(line: LogLine): string {
    const { detail, latencyMs, queuedMs, revision, status } = line;
    if (status === undefined) {
        return "";
    }
    const because = typeof detail === "string" ? `: ${detail}` : "";
    const times = `${formatField(latencyMs)} ms, ${formatField(queuedMs)} ms of them waiting for a slot`;
    return ` Status ${formatField(status)}${because}; ${times}; revision ${formatField(revision)}.`;
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
