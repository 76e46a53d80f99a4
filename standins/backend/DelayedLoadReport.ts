import { ReportingFault } from "./BackendServerOptions.js";

/** Load of a server in its health and load endpoints and its renewals. */
export interface LoadReport {
    readonly inFlight: number;
    readonly slots: number;
    readonly healthy: boolean;
}

/** Keeps past load, so that the stand-in can report the state of `lagMs` ago, or a false one. */
export class DelayedLoadReport {
    readonly #history: { readonly time: number; readonly inFlight: number; }[] = [];

    constructor(private readonly slots: number, private readonly lagMs: number) {}

    record(inFlight: number, now: number): void {
        this.#history.push({ inFlight, time: now });
        while (this.#history.length > 1 && (this.#history[1]?.time ?? now) <= now - this.lagMs) {
            this.#history.shift();
        }
    }

    read(fault: ReportingFault, now: number): LoadReport {
        if (fault === ReportingFault.AlwaysIdle) {
            return { healthy: true, inFlight: 0, slots: this.slots };
        }
        if (fault === ReportingFault.AlwaysOverloaded) {
            return { healthy: false, inFlight: this.slots, slots: this.slots };
        }
        const seen = this.#history.findLast(entry => entry.time <= now - this.lagMs);
        return { healthy: true, inFlight: seen?.inFlight ?? 0, slots: this.slots };
    }
}
