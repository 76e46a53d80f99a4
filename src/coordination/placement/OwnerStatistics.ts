import { OutlierEjection } from "../balancing/index.js";
import { LARGE_ANSWER_BYTES, WorkTimeEstimator } from "../scheduling/index.js";
import type { SlotWaitEstimates } from "../scheduling/index.js";
import { Distance } from "./PlacementTypes.js";
import type { OwnerLoad, PlacementQuery } from "./PlacementTypes.js";
import { ServerPace } from "./ServerPace.js";

/** Age beyond which a load report no longer describes the queue; owners report several times a second. */
const LOAD_REPORT_MAXIMUM_AGE_MS = 2_000;
/** Weight of the newest result in the success rate, an exponential moving average. */
const RESULT_SMOOTHING = 0.05;
/** Factor by which work times are longer during a cold start, as stated by the users. */
const COLD_START_FACTOR = 2;
/** Slots assumed without a current load report. */
const DEFAULT_SLOTS = 8;
const MS_PER_SECOND = 1_000;
/** Round-trip times assumed before the first measurement, by distance. */
const DEFAULT_ROUND_TRIP_MS = {
    [Distance.SameDomain]: 1,
    [Distance.SameRegion]: 3,
    [Distance.OtherRegion]: 26,
} as const;

/** Statistics that one daemon keeps of one backend server and its owner. */
export class OwnerStatistics {
    readonly ejection = new OutlierEjection();
    readonly #workTimes = new WorkTimeEstimator();
    readonly #pace = new ServerPace();
    #load: OwnerLoad | undefined;
    #loadReceivedAt = 0;
    #inFlight = 0;
    /** Requests sent since the last load report, which doesn't include them. */
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

    /** Whether the server tells how long work takes there at present. */
    get tellsWorkFactor(): boolean {
        return this.#pace.isTold;
    }

    /** Time at which the last load report was received. */
    get loadReceivedAt(): number {
        return this.#loadReceivedAt;
    }

    /** Exponential moving average of the share of requests that succeeded. */
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
        this.#pace.record(load, now);
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

    /** Records a request that was abandoned after `elapsedMs` without an answer. */
    recordUnfinished(route: string, elapsedMs: number): void {
        this.#workTimes.recordUnfinished(route, elapsedMs);
    }

    /** Records a failure; returns whether it ejects the server. */
    recordFailure(mayEject: boolean, now: number): boolean {
        this.#successRate -= this.#successRate * RESULT_SMOOTHING;
        return this.ejection.recordFailure(mayEject, now);
    }

    /** Discards success rate and work times, for example when another server runs beside the owner. */
    resetResults(): void {
        this.#successRate = 1;
        this.#workTimes.reset();
        this.#pace.reset();
    }

    /** Expected time that a request that is sent now spends besides its work, by what the server tells. */
    estimateDelay({ bytes, isNested }: PlacementQuery, now: number): number {
        const roundTripMs = this.#roundTripMs ?? DEFAULT_ROUND_TRIP_MS[this.distance];
        const load = this.#load;
        const sent = Math.max(this.#sentSinceReport, this.#inFlight - (load?.running ?? 0) - (load?.queued ?? 0));
        const coldFactor = this.#isCold(now) ? COLD_START_FACTOR : 1;
        const waitMs = load?.limitPerSecond === undefined
            ? this.#pace.estimateWait(Math.max(1, load?.slots ?? DEFAULT_SLOTS), sent, now) * coldFactor
            : this.#estimateWait(isNested ? "nestedMs" : "inTimeMs", now);
        return roundTripMs + waitMs + this.#estimateLinkTime(bytes, now) + this.#readProcessorDelay(now);
    }

    /** Expected latency of a request that is sent now. */
    estimateLatency({ bytes, isNested, route, targetLeftMs }: PlacementQuery, now: number): number {
        const roundTripMs = this.#roundTripMs ?? DEFAULT_ROUND_TRIP_MS[this.distance];
        const transferMs = this.#estimateLinkTime(bytes, now) + this.#readProcessorDelay(now);
        const baseLatencyMs = roundTripMs + this.estimateWorkTime(route, now) + transferMs;
        const inTimeLatencyMs = baseLatencyMs + this.#estimateWait(isNested ? "nestedMs" : "inTimeMs", now);
        return isNested || inTimeLatencyMs <= targetLeftMs
            ? inTimeLatencyMs
            : baseLatencyMs + this.#estimateWait("lateMs", now);
    }

    /** Time that an answer takes to pass the link of the server's VM, with the wait for it. */
    #estimateLinkTime(bytes: number, now: number): number {
        const link = this.#load?.link;
        return link === undefined || bytes < LARGE_ANSWER_BYTES
            ? 0
            : Math.max(0, link.waitMs - (now - this.#loadReceivedAt)) + bytes / link.bytesPerMs;
    }

    /** Unlike a queue, a lack of processor time doesn't get less with the age of its report. */
    #readProcessorDelay(now: number): number {
        const isRecent = now - this.#loadReceivedAt <= LOAD_REPORT_MAXIMUM_AGE_MS;
        return isRecent ? this.#load?.processorDelayMs ?? 0 : 0;
    }

    estimateWorkTime(route: string, now: number): number {
        const workMs = this.#workTimes.estimate(route);
        return this.#isCold(now) ? workMs * COLD_START_FACTOR : workMs;
    }

    #isCold(now: number): boolean {
        return now < this.#loadReceivedAt + (this.#load?.coldLeftMs ?? 0);
    }

    /** Expected wait at a server that starts requests at a limited rate, however many slots are free. */
    #estimateLimitedWait(
        load: OwnerLoad,
        limitPerSecond: number,
        tier: keyof SlotWaitEstimates,
        now: number,
    ): number {
        const startIntervalMs = Math.max(MS_PER_SECOND / limitPerSecond, load.workMs / Math.max(1, load.slots));
        return Math.max(
            0,
            load.waits[tier] + this.#sentSinceReport * startIntervalMs - (now - this.#loadReceivedAt),
        );
    }

    #estimateWait(tier: keyof SlotWaitEstimates, now: number): number {
        const load = this.#load;
        if (load === undefined || now - this.#loadReceivedAt > LOAD_REPORT_MAXIMUM_AGE_MS) {
            return Math.max(0, this.#inFlight + 1 - DEFAULT_SLOTS) * this.#workTimes.meanMs / DEFAULT_SLOTS;
        }
        const slots = Math.max(1, load.slots);
        if (load.limitPerSecond !== undefined) {
            return this.#estimateLimitedWait(load, load.limitPerSecond, tier, now);
        }
        const reportedBacklog = load.running + load.queued;
        const backlog = Math.max(reportedBacklog + this.#sentSinceReport, this.#inFlight);
        if (backlog < slots) {
            return 0;
        }
        // The queue has drained since the report; without this, all daemons avoid the server until the next report.
        const waitMs = Math.max(0, load.waits[tier] - (now - this.#loadReceivedAt));
        return waitMs + (backlog - Math.max(slots - 1, reportedBacklog)) * load.workMs / slots;
    }
}
