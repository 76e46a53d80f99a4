import type { CountedEvent, RequestRecord, RequestRecorder } from "../../coordination/recording/index.js";
import type { PartLogger } from "./Logger.js";

const MICROSECONDS_PER_MS = 1_000;

/** Logs one line for each finished request; refusals, retries and ejections at level debug. */
export function createAccessLog(logger: PartLogger): RequestRecorder {
    function record(request: RequestRecord): void {
        if (!logger.isEnabled("info")) {
            return;
        }
        logger.info(`${request.method} ${request.path} ended as ${request.outcome}.`, {
            ...request,
            confirmedAgeMs: request.confirmedAgeMs === undefined ? undefined : Math.round(request.confirmedAgeMs),
            latencyMs: roundToMicroseconds(request.latencyMs),
            queuedMs: roundToMicroseconds(request.queuedMs),
        });
    }

    function count(event: CountedEvent): void {
        if (logger.isEnabled("debug")) {
            logger.debug(`${event.kind} because of ${event.reason}.`, { ...event });
        }
    }

    return { record, count };
}

function roundToMicroseconds(ms: number): number {
    return Math.round(ms * MICROSECONDS_PER_MS) / MICROSECONDS_PER_MS;
}
