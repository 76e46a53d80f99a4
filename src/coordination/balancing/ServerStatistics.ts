import {
    LATENCY_SMOOTHING,
    LOAD_HALF_LIFE_MS,
    SLOW_START_MINIMUM_WEIGHT,
    UNHEALTHY_WEIGHT,
} from "./BalancingConstants.js";
import { OutlierEjection } from "./OutlierEjection.js";

/** Load of a server, reported by its owner. */
export interface ReportedLoad {
    readonly used: number;
    readonly slots: number;
    readonly queued: number;
    readonly healthy: boolean;
}

/** Statistics that one daemon keeps of one backend server. */
export class ServerStatistics {
    readonly ejection = new OutlierEjection();
    readonly firstSeenAt: number;
    /** Time until which the server gets no requests because it refused one as leaving. */
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

    /** Estimated share of the slots in use: the maximum of the decayed report and of this daemon's own requests. */
    estimateUtilization(slots: number, now: number): number {
        const own = this.#inFlight / Math.max(1, slots);
        if (this.#load === undefined) {
            return own;
        }
        const reported = (this.#load.used + this.#load.queued) / Math.max(1, this.#load.slots);
        return Math.max(own, reported * 0.5 ** ((now - this.#loadReceivedAt) / LOAD_HALF_LIFE_MS));
    }

    /** Load balancing weight: ramps up during the slow start and is reduced while the server is unhealthy. */
    computeWeight(slowStartMs: number, now: number): number {
        const age = now - this.firstSeenAt;
        const ramp = slowStartMs <= 0 ? 1 : Math.min(1, Math.max(SLOW_START_MINIMUM_WEIGHT, age / slowStartMs));
        return this.#load?.healthy === false ? ramp * UNHEALTHY_WEIGHT : ramp;
    }
}
