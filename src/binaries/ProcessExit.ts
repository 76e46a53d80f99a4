/** Handles the ends of a process: stop signals and uncaught errors. */

import type { LogFields, WriteLog } from "../transport/logging/index.js";

/** Exit code when a second signal interrupts a planned stop. */
const FORCED_EXIT_CODE = 1;
/** Exit code when a planned stop has failed. */
const FAILED_STOP_EXIT_CODE = 1;
/** Exit code after an uncaught error; EX_SOFTWARE of sysexits.h. */
const UNCAUGHT_EXIT_CODE = 70;
const UNCAUGHT_WINDOW_MS = 60_000;

/** Logs an error of a part with structured fields. */
export type LogFatal = (part: string, sentence: string, fields: LogFields) => void;

/** Derives the part that threw from the folder of the first stack frame in this project's code. */
export function derivePartName(error: unknown): string {
    const stack = error instanceof Error ? error.stack ?? "" : "";
    return /\/src\/[a-z]+\/([a-z]+)\//.exec(stack)?.[1] ?? "daemon";
}

/**
 * Logs an uncaught error or unhandled rejection, and exits with `UNCAUGHT_EXIT_CODE` after more than `tolerated` of
 * them within `UNCAUGHT_WINDOW_MS`. A process that serves many callers outlives an error of one of their requests.
 */
export function handleUncaughtErrors(logFatal: LogFatal, tolerated = 0): void {
    let times: number[] = [];
    const onError = (error: unknown): void => {
        const now = performance.now();
        times = [...times.filter(time => now - time < UNCAUGHT_WINDOW_MS), now];
        const detail = error instanceof Error ? error.message : String(error);
        logFatal(derivePartName(error), `uncaught error: ${detail}.`, { count: times.length, err: error, tolerated });
        if (times.length > tolerated) {
            process.exit(UNCAUGHT_EXIT_CODE);
        }
    };
    process.on("uncaughtException", onError);
    process.on("unhandledRejection", onError);
}

/**
 * Stops gracefully on the first SIGTERM or SIGINT and exits immediately on the second. A stop that fails ends the process
 * too: where uncaught errors are tolerated, it would stay until it is killed.
 */
export function handleStopSignals(stop: () => Promise<void>, logInfo: WriteLog): void {
    let isStopping = false;
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            logInfo("received a second signal, exiting immediately.", { signal });
            process.exit(FORCED_EXIT_CODE);
        }
        isStopping = true;
        logInfo("planned stop begins.", { signal });
        stop().then(() => process.exit(0), (error: unknown) => {
            logInfo("planned stop has failed.", { err: error });
            process.exit(FAILED_STOP_EXIT_CODE);
        });
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
