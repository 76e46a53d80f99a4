/**
 * Counts and logs answers of the own server that no request waits for, and requests that reach the server again, so that
 * an answer of an earlier run can be told from other faults.
 */
import type { LogFields, PartLogger } from "../logging/index.js";

/** When an answer came that no request waits for. */
export const DropMoment = {
    /** In one read with the answer before it. */
    Following: "following",
    /** While no request uses the connection. */
    Idle: "idle",
    /** While another request waits on the connection. */
    Waiting: "waiting",
} as const;
export type DropMoment = (typeof DropMoment)[keyof typeof DropMoment];

export interface DroppedAnswer {
    readonly moment: DropMoment;
    /** Undefined when no whole head has arrived. */
    readonly status: number | undefined;
    /** Request that the answer names; undefined when it names none. */
    readonly requestId: string | undefined;
    /** Request that waits on the connection. */
    readonly waitingId: string | undefined;
}

const INTERVAL_MS = 1_000;
const LINES_PER_INTERVAL = 10;
/** Characters of an id that are logged; ids in answers have any length. */
const LOGGED_ID_LENGTH = 128;

/** Writes a number of lines an interval; the first one after that says how many were left out. */
class LimitedLines {
    readonly #write: (fields: LogFields) => void;
    #intervalStartedAt = -Infinity;
    #lines = 0;
    #unlogged = 0;

    constructor(write: (fields: LogFields) => void) {
        this.#write = write;
    }

    write(fields: LogFields, now: number): void {
        if (now - this.#intervalStartedAt >= INTERVAL_MS) {
            this.#intervalStartedAt = now;
            this.#lines = 0;
        }
        if (this.#lines >= LINES_PER_INTERVAL) {
            this.#unlogged++;
            return;
        }
        this.#lines++;
        this.#write(this.#unlogged > 0 ? { ...fields, unloggedBefore: this.#unlogged } : fields);
        this.#unlogged = 0;
    }
}

export class SecondAnswerMonitor {
    readonly #droppedLines: LimitedLines;
    readonly #repeatLines: LimitedLines;
    readonly #dropped = new Map<DropMoment, number>(Object.values(DropMoment).map(moment => [moment, 0]));
    #repeats = 0;

    constructor(log: PartLogger) {
        this.#droppedLines = new LimitedLines(fields =>
            log.info("dropped an answer of the server that no request waits for.", fields)
        );
        this.#repeatLines = new LimitedLines(fields =>
            log.info("a request reaches the server again, and not over the connection that has carried its id.", fields)
        );
    }

    /** Requests so far that were kept from a connection which has carried their id. */
    get repeats(): number {
        return this.#repeats;
    }

    countDropped(moment: DropMoment): number {
        return this.#dropped.get(moment) ?? 0;
    }

    recordDropped({ moment, requestId, status, waitingId }: DroppedAnswer, now: number): void {
        this.#dropped.set(moment, this.countDropped(moment) + 1);
        const fields = {
            moment,
            requestId: requestId?.slice(0, LOGGED_ID_LENGTH),
            status,
            waitingRequestId: waitingId?.slice(0, LOGGED_ID_LENGTH),
        };
        this.#droppedLines.write(fields, now);
    }

    recordRepeat(requestId: string, now: number): void {
        this.#repeats++;
        this.#repeatLines.write({ requestId: requestId.slice(0, LOGGED_ID_LENGTH) }, now);
    }
}
