/** Samples the event loop, and tells when the daemon begins and ends to lack processor time. */
import { performance } from "node:perf_hooks";
import { OverloadDetector } from "../../coordination/overload/index.js";
import type { PartLogger } from "../logging/index.js";
import { scheduleRepeating } from "../timers/index.js";
import type { Timers } from "../timers/index.js";

export interface OverloadMonitorOptions {
    readonly log: PartLogger;
    readonly now: () => number;
    readonly timers: Timers;
    /** Share of the time since the last call in which the event loop wasn't idle. */
    readonly readUtilization: () => number;
    /** Called when the daemon becomes overloaded, or no longer is. */
    onChange(): void;
}

const SAMPLE_INTERVAL_MS = 250;

/** Creates a function that returns the utilization of this process's event loop since its last call. */
export function createUtilizationReader(): () => number {
    let before = performance.eventLoopUtilization();
    return () => {
        const now = performance.eventLoopUtilization();
        const { utilization } = performance.eventLoopUtilization(now, before);
        before = now;
        return utilization;
    };
}

export class OverloadMonitor {
    readonly #options: OverloadMonitorOptions;
    readonly #detector = new OverloadDetector();
    #iterationMs = 0;
    #overloadedSince: number | undefined;
    #overloadedMs = 0;
    #resets = 0;
    #stop: () => void = () => undefined;

    constructor(options: OverloadMonitorOptions) {
        this.#options = options;
    }

    /** Time since the start for which the daemon was overloaded, in milliseconds. */
    get overloadedMs(): number {
        return this.#overloadedMs
            + (this.#overloadedSince === undefined ? 0 : this.#options.now() - this.#overloadedSince);
    }

    /** How often connections that waited to be accepted were reset. */
    get resets(): number {
        return this.#resets;
    }

    start(): void {
        this.#stop = scheduleRepeating(
            this.#options.timers,
            () => SAMPLE_INTERVAL_MS,
            SAMPLE_INTERVAL_MS,
            () => this.#takeSample(),
        );
    }

    stop(): void {
        this.#stop();
    }

    /** Whether callers of this VM are better served by other daemons. */
    shouldAvoidCallers(): boolean {
        return this.#detector.shouldAvoidCallers(this.#options.now());
    }

    /** Time that a request of another daemon loses here for want of processor time; undefined while there is some. */
    estimateDelayMs(): number | undefined {
        return this.#detector.estimateDelayMs(this.#options.now());
    }

    /** Whether the connections that wait to be accepted should be reset now, after a request whose caller has left. */
    tryReset(requestId: string): boolean {
        const isDue = this.#detector.tryReset(this.#options.now());
        if (isDue) {
            this.#resets++;
            this.#options.log.info(
                "connections that wait to be accepted are reset: callers leave before they are read.",
                {
                    iterationMs: Math.round(this.#iterationMs),
                    requestId,
                },
            );
        }
        return isDue;
    }

    #takeSample(): void {
        const { now, readUtilization } = this.#options;
        const utilization = readUtilization();
        this.#detector.recordSample({ iterationMs: this.#iterationMs, utilization }, now());
        const startedAt = now();
        // Timers act between two iterations, so that the next immediate is one iteration later.
        setImmediate(() => {
            this.#iterationMs = now() - startedAt;
        });
        this.#reportChange(utilization);
    }

    #reportChange(utilization: number): void {
        const { log, now, onChange } = this.#options;
        const isOverloaded = this.#detector.isOverloaded(now());
        if (isOverloaded === (this.#overloadedSince !== undefined)) {
            return;
        }
        if (this.#overloadedSince === undefined) {
            this.#overloadedSince = now();
            log.warn("the event loop has no idle time: callers and other daemons are led elsewhere.", {
                iterationMs: Math.round(this.#iterationMs),
                utilization: Number(utilization.toFixed(2)),
            });
        }
        else {
            const lastedMs = now() - this.#overloadedSince;
            this.#overloadedMs += lastedMs;
            this.#overloadedSince = undefined;
            log.info("the event loop has idle time again.", {
                lastedMs: Math.round(lastedMs),
                utilization: Number(utilization.toFixed(2)),
            });
        }
        onChange();
    }
}
