import type { RequestExecution } from "./BackendServerOptions.js";

/** Counters of one stand-in server since its start. */
export interface BackendStatistics {
    readonly inFlight: number;
    readonly highestInFlight: number;
    readonly connections: number;
    readonly highestConnections: number;
    /** Total number of accepted connections. */
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
    #executions = 0;
    shed = 0;
    cancelled = 0;
    deadlineExceeded = 0;
    readonly #executionsByKey = new Map<string, number>();

    get inFlight(): number {
        return this.#inFlight;
    }

    recordConnectionOpened(): void {
        this.#connections++;
        this.#connectionsOpened++;
        this.#highestConnections = Math.max(this.#highestConnections, this.#connections);
    }

    recordConnectionClosed(): void {
        this.#connections--;
    }

    recordExecutionStarted(execution: RequestExecution): void {
        this.#executions++;
        this.#inFlight++;
        this.#highestInFlight = Math.max(this.#highestInFlight, this.#inFlight);
        if (execution.idempotencyKey !== undefined) {
            this.#executionsByKey.set(
                execution.idempotencyKey,
                (this.#executionsByKey.get(execution.idempotencyKey) ?? 0) + 1,
            );
        }
    }

    recordExecutionEnded(): void {
        this.#inFlight--;
    }

    countExecutionsOfKey(key: string): number {
        return this.#executionsByKey.get(key) ?? 0;
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
            keysRunTwice: Object.fromEntries([...this.#executionsByKey].filter(([, executions]) => executions > 1)),
            runs: this.#executions,
            shed: this.shed,
        };
    }
}
