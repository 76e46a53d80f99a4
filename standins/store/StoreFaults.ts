/** Fault switches and counters of the stand-in. */
import type { Socket } from "node:net";
import type { Random } from "../../src/state/shared/index.js";

/** Injectable faults of the stand-in; docs/store.md describes them. */
export interface FaultSwitches {
    readonly outage: boolean;
    readonly delayMs: number;
    readonly lostAnswers: number;
    readonly lostAnswerShare: number;
}

export const NO_FAULTS: FaultSwitches = { delayMs: 0, lostAnswers: 0, lostAnswerShare: 0, outage: false };

/** Counters of the stand-in since its start. */
export interface StoreCounters {
    readonly reads: number;
    readonly writes: number;
    readonly deletions: number;
    readonly lists: number;
    readonly watches: number;
    /** Requests refused because of the rate limits. */
    readonly refusedByRate: number;
    /** Requests dropped by an outage. */
    readonly dropped: number;
    /** Writes whose answer was lost after they took effect. */
    readonly lostAnswers: number;
    readonly receivedBytes: number;
    readonly sentBytes: number;
}

const ZERO_COUNTERS: StoreCounters = {
    deletions: 0,
    dropped: 0,
    lists: 0,
    lostAnswers: 0,
    reads: 0,
    receivedBytes: 0,
    refusedByRate: 0,
    sentBytes: 0,
    watches: 0,
    writes: 0,
};

/** Current fault switches and counters of one server. */
export class StoreState {
    faults: FaultSwitches = NO_FAULTS;
    private counters: StoreCounters = ZERO_COUNTERS;
    private readonly connections = new Set<Socket>();

    constructor(private readonly random: Random) {}

    setFaults(changes: Partial<FaultSwitches>): void {
        this.faults = { ...this.faults, ...changes };
    }

    /** Counts the bytes of a connection, and keeps its total after it closes. */
    addConnection(socket: Socket): void {
        this.connections.add(socket);
        socket.once("close", () => {
            this.connections.delete(socket);
            this.count("receivedBytes", socket.bytesRead);
            this.count("sentBytes", socket.bytesWritten);
        });
    }

    readCounters(): StoreCounters {
        const open = [...this.connections];
        return {
            ...this.counters,
            receivedBytes: open.reduce((sum, socket) => sum + socket.bytesRead, this.counters.receivedBytes),
            sentBytes: open.reduce((sum, socket) => sum + socket.bytesWritten, this.counters.sentBytes),
        };
    }

    count(counter: keyof StoreCounters, amount = 1): void {
        this.counters = { ...this.counters, [counter]: this.counters[counter] + amount };
    }

    /** Decides whether the answer of a write that took effect is lost, and counts it. */
    takeLostAnswer(): boolean {
        const { lostAnswers, lostAnswerShare } = this.faults;
        if (lostAnswers === 0 && this.random() >= lostAnswerShare) {
            return false;
        }
        this.setFaults({ lostAnswers: Math.max(0, lostAnswers - 1) });
        this.count("lostAnswers");
        return true;
    }
}
