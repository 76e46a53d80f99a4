/** Divides the processor time for costly input among the connections that read it, the least costly one first. */
import { ProcessorShare } from "../../coordination/scheduling/index.js";
import type { PartLogger } from "../logging/index.js";

/** Processor time that an answer or a body may take without waiting, in milliseconds: far above that of usual ones. */
const UNLIMITED_WORK_MS = 1;
/** Shortest time between two log lines on input that waits. */
const REPORT_INTERVAL_MS = 1_000;

/** A connection with bytes that wait to be read. */
export interface CostlyReader {
    /** Processor time that the present answer or body has taken, in milliseconds. */
    readonly workMs: number;
    /** Whose input it is, for the log. */
    readonly source: string;
    /** Reads some bytes, and waits again if there are more. */
    readOn(): void;
}

export class CostlyReads {
    readonly #now: () => number;
    readonly #share = new ProcessorShare();
    readonly #waiting = new Set<CostlyReader>();
    readonly #log: PartLogger;
    #timer: NodeJS.Timeout | undefined;
    #reportedAt = -Infinity;
    #totalWorkMs = 0;

    constructor(log: PartLogger, now: () => number) {
        this.#log = log;
        this.#now = now;
    }

    /** Connections that wait. */
    get waiting(): number {
        return this.#waiting.size;
    }

    /** Processor time that costly input has taken since the start, in milliseconds. */
    get totalWorkMs(): number {
        return this.#totalWorkMs;
    }

    /** Whether a connection may read now. */
    isFree({ workMs }: CostlyReader): boolean {
        return workMs < UNLIMITED_WORK_MS || this.#share.estimateDelay(this.#now()) === 0;
    }

    /** Charges processor time of an answer or a body that has taken `earlierMs` before; what each may take without waiting is free. */
    charge(workMs: number, earlierMs: number): void {
        const chargedMs = Math.max(0, earlierMs + workMs - Math.max(UNLIMITED_WORK_MS, earlierMs));
        this.#totalWorkMs += chargedMs;
        this.#share.charge(chargedMs, this.#now());
    }

    /** Calls `readOn` of a connection once it may read. */
    enqueue(reader: CostlyReader): void {
        this.#waiting.add(reader);
        this.#reportWaiting(reader);
        this.#schedule();
    }

    cancel(reader: CostlyReader): void {
        this.#waiting.delete(reader);
    }

    #reportWaiting({ source, workMs }: CostlyReader): void {
        const now = this.#now();
        if (now - this.#reportedAt >= REPORT_INTERVAL_MS) {
            this.#reportedAt = now;
            this.#log.warn(`${source} comes in tiny parts and waits for its share of the processor.`, {
                source,
                waiting: this.#waiting.size,
                workMs: Math.round(workMs),
            });
        }
    }

    #schedule(): void {
        this.#timer ??= setTimeout(() => {
            this.#timer = undefined;
            this.#readWaiting();
        }, Math.ceil(this.#share.estimateDelay(this.#now())));
    }

    #readWaiting(): void {
        const [first, ...others] = this.#waiting;
        if (first === undefined) {
            return;
        }
        const next = others.reduce((least, other) => other.workMs < least.workMs ? other : least, first);
        this.#waiting.delete(next);
        next.readOn();
        if (this.#waiting.size > 0) {
            this.#schedule();
        }
    }
}
