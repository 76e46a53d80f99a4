import {
    LATENCY_SMOOTHING,
    LOAD_HALF_LIFE_MS,
    SLOW_START_MINIMUM_WEIGHT,
    UNHEALTHY_WEIGHT,
} from "./BalancingConstants.js";
import { OutlierEjection } from "./OutlierEjection.js";

/** Load of a server as reported by its owner. */
export interface ReportedLoad {
    readonly used: number;
    readonly slots: number;
    readonly queued: number;
    readonly healthy: boolean;
}

/** What one daemon has observed of one backend server. */
export class ServerStatistics {
    readonly ejection = new OutlierEjection();
    readonly firstSeenAt: number;
    /** Until when the server gets no requests because it refused one as it is leaving. */
    avoidedUntil = 0;
    #inFlight = 0;
    #latencyMs: number | undefined;
    #load: ReportedLoad | undefined;
    #loadReceivedAt = 0;

    constructor(firstSeenAt: number) {
        this.firstSeenAt = firstSeenAt;
    }

    get inFlight(): number {
        return this.#inFlight;
    }

    get latencyMs(): number | undefined {
        return this.#latencyMs;
    }

    recordStart(now: number): void {
        this.#inFlight++;
        this.ejection.recordStart(now);
    }

    recordEnd(): void {
        this.#inFlight--;
    }

    recordLatency(latencyMs: number): void {
        this.#latencyMs = this.#latencyMs === undefined
            ? latencyMs
            : this.#latencyMs + (latencyMs - this.#latencyMs) * LATENCY_SMOOTHING;
    }

    recordLoad(load: ReportedLoad, now: number): void {
        this.#load = load;
        this.#loadReceivedAt = now;
    }

    /** Share of the server's slots in use, from the decaying report and from this daemon's own requests. */
    estimateUtilization(slots: number, now: number): number {
        const own = this.#inFlight / Math.max(1, slots);
        if (this.#load === undefined) {
            return own;
        }
        const reported = (this.#load.used + this.#load.queued) / Math.max(1, this.#load.slots);
        return Math.max(own, reported * 0.5 ** ((now - this.#loadReceivedAt) / LOAD_HALF_LIFE_MS));
    }

    /** Factor of a server's share of requests: ramps up after it appeared, lower while it reports trouble. */
    computeWeight(slowStartMs: number, now: number): number {
        const age = now - this.firstSeenAt;
        const ramp = slowStartMs <= 0 ? 1 : Math.min(1, Math.max(SLOW_START_MINIMUM_WEIGHT, age / slowStartMs));
        return this.#load?.healthy === false ? ramp * UNHEALTHY_WEIGHT : ramp;
    }
}
