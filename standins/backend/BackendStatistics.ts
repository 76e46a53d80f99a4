import type { RequestRun } from "./BackendServerOptions.js";

/** Counters of one stand-in server since its start. */
export interface BackendStatistics {
    readonly inFlight: number;
    readonly highestInFlight: number;
    readonly connections: number;
    readonly highestConnections: number;
    /** Connections accepted in all. */
    readonly connectionsOpened: number;
    readonly runs: number;
    readonly shed: number;
    readonly cancelled: number;
    readonly deadlineExceeded: number;
    /** Keys that were executed more than once, with the number of executions. */
    readonly keysRunTwice: Readonly<Record<string, number>>;
}

/** Counts executions, slots and connections. */
export class BackendStatisticsCounter {
    #inFlight = 0;
    #highestInFlight = 0;
    #connections = 0;
    #highestConnections = 0;
    #connectionsOpened = 0;
    #runs = 0;
    shed = 0;
    cancelled = 0;
    deadlineExceeded = 0;
    readonly #runsByKey = new Map<string, number>();

    get inFlight(): number {
        return this.#inFlight;
    }

    openConnection(): void {
        this.#connections++;
        this.#connectionsOpened++;
        this.#highestConnections = Math.max(this.#highestConnections, this.#connections);
    }

    closeConnection(): void {
        this.#connections--;
    }

    beginRun(run: RequestRun): void {
        this.#runs++;
        this.#inFlight++;
        this.#highestInFlight = Math.max(this.#highestInFlight, this.#inFlight);
        if (run.idempotencyKey !== undefined) {
            this.#runsByKey.set(run.idempotencyKey, (this.#runsByKey.get(run.idempotencyKey) ?? 0) + 1);
        }
    }

    endRun(): void {
        this.#inFlight--;
    }

    countRunsOfKey(key: string): number {
        return this.#runsByKey.get(key) ?? 0;
    }

    read(): BackendStatistics {
        return {
            cancelled: this.cancelled,
            connections: this.#connections,
            connectionsOpened: this.#connectionsOpened,
            deadlineExceeded: this.deadlineExceeded,
            highestConnections: this.#highestConnections,
            highestInFlight: this.#highestInFlight,
            inFlight: this.#inFlight,
            keysRunTwice: Object.fromEntries([...this.#runsByKey].filter(([, runs]) => runs > 1)),
            runs: this.#runs,
            shed: this.shed,
        };
    }
}
