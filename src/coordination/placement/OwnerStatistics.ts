import { OutlierEjection } from "../balancing/index.js";
import { WorkTimeEstimator } from "../scheduling/index.js";
import type { SlotWaitEstimates } from "../scheduling/index.js";
import { Distance } from "./PlacementTypes.js";
import type { OwnerLoad, PlacementQuery } from "./PlacementTypes.js";

/** A report older than this says nothing about the present queue; owners report several times a second. */
const LOAD_REPORT_MAXIMUM_AGE_MS = 2_000;
/** Weight of the newest result in the share of successes. */
const RESULT_SMOOTHING = 0.05;
/** How much slower a server works while it is cold, by the users' sheets. */
const COLD_START_FACTOR = 2;
/** Slots assumed before the first report. */
const DEFAULT_SLOTS = 8;
/** Round trips to owners by distance, before any was measured. */
const DEFAULT_ROUND_TRIP_MS = {
    [Distance.SameDomain]: 1,
    [Distance.SameRegion]: 3,
    [Distance.OtherRegion]: 26,
} as const;

/** What one daemon has observed of one backend server and its owner. */
export class OwnerStatistics {
    readonly ejection = new OutlierEjection();
    readonly #workTimes = new WorkTimeEstimator();
    #load: OwnerLoad | undefined;
    #loadReceivedAt = 0;
    #inFlight = 0;
    /** Requests sent since the last report, which it doesn't count. */
    #sentSinceReport = 0;
    #successRate = 1;
    #roundTripMs: number | undefined;

    constructor(readonly distance: Distance) {}

    get inFlight(): number {
        return this.#inFlight;
    }

    get load(): OwnerLoad | undefined {
        return this.#load;
    }

    /** When the load was reported. */
    get loadReceivedAt(): number {
        return this.#loadReceivedAt;
    }

    /** Share of requests that the server did not fail, with more weight on recent ones. */
    get successRate(): number {
        return this.#successRate;
    }

    recordStart(now: number): void {
        this.#inFlight++;
        this.#sentSinceReport++;
        this.ejection.recordStart(now);
    }

    recordEnd(): void {
        this.#inFlight--;
    }

    recordLoad(load: OwnerLoad, now: number): void {
        this.#load = load;
        this.#loadReceivedAt = now;
        this.#sentSinceReport = 0;
    }

    recordRoundTrip(ms: number): void {
        this.#roundTripMs = ms;
    }

    recordSuccess(route: string, workMs: number, now: number): void {
        this.#workTimes.record(route, workMs);
        this.#successRate += (1 - this.#successRate) * RESULT_SMOOTHING;
        this.ejection.recordSuccess(now);
    }

    /** Takes in a request that was given up after `elapsedMs` without an answer. */
    recordUnfinished(route: string, elapsedMs: number): void {
        this.#workTimes.recordUnfinished(route, elapsedMs);
    }

    /** Counts a failure; true when it ejects the server. */
    recordFailure(mayEject: boolean, now: number): boolean {
        this.#successRate -= this.#successRate * RESULT_SMOOTHING;
        return this.ejection.recordFailure(mayEject, now);
    }

    /** Forgets the results, for example when another server runs beside the owner. */
    resetResults(): void {
        this.#successRate = 1;
        this.#workTimes.reset();
    }

    /** Time until an answer to a request that is sent now. */
    estimateLatency({ isNested, route, targetLeftMs }: PlacementQuery, now: number): number {
        const roundTripMs = this.#roundTripMs ?? DEFAULT_ROUND_TRIP_MS[this.distance];
        const unqueuedMs = roundTripMs + this.estimateWorkTime(route, now);
        const nearMs = unqueuedMs + this.#estimateWait(isNested ? "nestedMs" : "inTimeMs", now);
        return isNested || nearMs <= targetLeftMs ? nearMs : unqueuedMs + this.#estimateWait("lateMs", now);
    }

    estimateWorkTime(route: string, now: number): number {
        const workMs = this.#workTimes.estimate(route);
        const coldUntil = this.#loadReceivedAt + (this.#load?.coldLeftMs ?? 0);
        return now < coldUntil ? workMs * COLD_START_FACTOR : workMs;
    }

    #estimateWait(tier: keyof SlotWaitEstimates, now: number): number {
        const load = this.#load;
        if (load === undefined || now - this.#loadReceivedAt > LOAD_REPORT_MAXIMUM_AGE_MS) {
            return Math.max(0, this.#inFlight + 1 - DEFAULT_SLOTS) * this.#workTimes.meanMs / DEFAULT_SLOTS;
        }
        const slots = Math.max(1, load.slots);
        const reported = load.running + load.queued;
        const backlog = Math.max(reported + this.#sentSinceReport, this.#inFlight);
        if (backlog < slots) {
            return 0;
        }
        // The queue has moved on since the report; without this, all daemons stay away until the next one.
        const waitMs = Math.max(0, load.waits[tier] - (now - this.#loadReceivedAt));
        return waitMs + (backlog - Math.max(slots - 1, reported)) * load.workMs / slots;
    }
}
