/** Ways in which a process of the project ends: by signal, or by an error that no part handled. */

import type { LogFields, WriteLog } from "../transport/logging/index.js";

/** A planned stop was cut short by a second signal. */
const FORCED_EXIT_CODE = 1;
const UNCAUGHT_EXIT_CODE = 70;

/** Logs one sentence of a part with its structured fields. */
export type LogFatal = (part: string, sentence: string, fields: LogFields) => void;

/** Names the part that threw, from the folder of the first frame of the project's own code. */
export function derivePartName(error: unknown): string {
    const stack = error instanceof Error ? error.stack ?? "" : "";
    return /\/src\/[a-z]+\/([a-z]+)\//.exec(stack)?.[1] ?? "daemon";
}

/** Ends the process with a non-zero code, and one log line, after an error that no part handled. */
export function handleUncaughtErrors(logFatal: LogFatal): void {
    const onError = (error: unknown): void => {
        const detail = error instanceof Error ? error.message : String(error);
        logFatal(derivePartName(error), `uncaught error: ${detail}.`, { err: error });
        process.exit(UNCAUGHT_EXIT_CODE);
    };
    process.on("uncaughtException", onError);
    process.on("unhandledRejection", onError);
}

/** Stops gracefully at the first SIGTERM or SIGINT and at once at the second. */
export function handleStopSignals(stop: () => Promise<void>, logInfo: WriteLog): void {
    let isStopping = false;
    const onSignal = (signal: NodeJS.Signals): void => {
        if (isStopping) {
            logInfo("second signal, stopping at once.", { signal });
            process.exit(FORCED_EXIT_CODE);
        }
        isStopping = true;
        logInfo("planned stop begins.", { signal });
        void stop().then(() => process.exit(0));
    };
    process.on("SIGTERM", onSignal);
    process.on("SIGINT", onSignal);
}
