import type { LogLevelString, Stream } from "bunyan";

import bunyan from "bunyan";

/** Levels in rising order of severity, as settings name them. */
export const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Structured fields of a log line besides its message. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Writes one sentence, for example `connected to erie-a-2.`, after the fixed prefix of a part. */
export type WriteLog = (sentence: string, fields?: LogFields) => void;

/** Logger of one part of the program. */
export interface PartLogger {
    readonly trace: WriteLog;
    readonly debug: WriteLog;
    readonly info: WriteLog;
    readonly warn: WriteLog;
    readonly error: WriteLog;
    /** Whether lines of the level are written; lets callers skip building fields that would be dropped. */
    isEnabled(level: LogLevel): boolean;
}

/** Destination of complete log lines. */
export interface LogOutput {
    write(line: string): boolean;
}

export interface LoggerOptions {
    /** Name of the program, for example `papayaturn-daemon`. */
    readonly name: string;
    readonly level: LogLevel;
    /** Fields of every line, for example the daemon's id. */
    readonly fields?: LogFields;
    /** Standard output if omitted. */
    readonly output?: LogOutput;
}

/** Creates the logger of a part; `part` is the prefix of its lines. */
export type CreatePartLogger = (part: string) => PartLogger;

/** Fields that bunyan writes itself; a custom field of the same name would replace them. */
const RESERVED_FIELDS: ReadonlySet<string> = new Set(["hostname", "level", "msg", "name", "pid", "time", "v"]);

/** Creates a program's logger, which writes one JSON object per line. */
export function createLogger(options: LoggerOptions): CreatePartLogger {
    const stream: Stream = {
        level: options.level,
        stream: (options.output ?? process.stdout) as NodeJS.WritableStream,
    };
    const root = bunyan.createLogger({ ...options.fields, name: options.name, streams: [stream] });
    return part => createPartLogger(root, part);
}

/** Returns the level named by a setting, or undefined if there is no such level. */
export function parseLogLevel(text: string): LogLevel | undefined {
    return LOG_LEVELS.find(level => level === text);
}

function createPartLogger(root: bunyan, part: string): PartLogger {
    const createWriter = (level: LogLevelString): WriteLog => (sentence, fields) =>
        root[level](renderFields(fields), "%s", `${part}: ${sentence}`);
    return {
        trace: createWriter("trace"),
        debug: createWriter("debug"),
        info: createWriter("info"),
        warn: createWriter("warn"),
        error: createWriter("error"),
        isEnabled: level => root.level() <= bunyan.levelFromName[level],
    };
}

/** Appends `_` to reserved names and serializes errors with their stack. */
function renderFields(fields: LogFields = {}): LogFields {
    return Object.fromEntries(
        Object.entries(fields).map(([name, value]) => [
            RESERVED_FIELDS.has(name) ? `${name}_` : name,
            value instanceof Error ? bunyan.stdSerializers.err(value) : value,
        ]),
    );
}
