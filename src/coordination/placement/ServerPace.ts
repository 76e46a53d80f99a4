/**
 * Estimates how long work takes at one server, and how many requests it has, from the load reports of its owner.
 *
 * Load pattern: servers of one service whose speeds differ, on VMs that they share with others. A daemon gets a report
 * of a server about as often as it sends a request there, so most reports are several work times old.
 */
import type { OwnerLoad } from "./PlacementTypes.js";
import { updateFactor } from "./WorkFactor.js";

/** Weight of the newest report; the mean of ten work times, which a report has, differs by a fifth by chance. */
const REPORT_SMOOTHING = 0.03;
/** Exponent from which the expected wait equals the number of requests too many, to the last digit. */
const MAXIMUM_EXPONENT = 50;

export class ServerPace {
    #reports = 0;
    #meanWorkMs = 0;
    #meanFactor = 1;
    #meanOccupancy = 0;
    #factor = 1;
    #occupancy = 0;
    #reportedAt = 0;
    #isTold = false;

    /** Whether the server tells its present factor. */
    get isTold(): boolean {
        return this.#isTold;
    }

    record({ queued, running, workFactor, workMs }: OwnerLoad, now: number): void {
        this.#reports++;
        const weight = Math.max(REPORT_SMOOTHING, 1 / this.#reports);
        this.#isTold = workFactor !== undefined;
        this.#factor = workFactor ?? 1;
        this.#occupancy = running + queued;
        this.#reportedAt = now;
        this.#meanWorkMs += (workMs - this.#meanWorkMs) * weight;
        this.#meanFactor += (this.#factor - this.#meanFactor) * weight;
        this.#meanOccupancy += (this.#occupancy - this.#meanOccupancy) * weight;
    }

    /** Discards all reports, for example when another server runs beside the owner. */
    reset(): void {
        this.#reports = 0;
        this.#isTold = false;
    }

    /** Expected work time of a request that starts now, without a cold start. */
    estimateWork(now: number): number {
        return this.#meanWorkMs * updateFactor(this.#factor, now - this.#reportedAt) / this.#meanFactor;
    }

    /**
     * Expected wait of a request that starts after `sent` others since the report. The number of requests at the server
     * is the reported one, and more and more the usual one as the report gets older than a work time, since the idle
     * server of an old report would draw the requests of many daemons. It is uncertain, so that a server whose last slot
     * is probably taken has an expected wait already.
     */
    estimateWait(slots: number, sent: number, now: number): number {
        const weight = Math.exp(-(now - this.#reportedAt) / Math.max(1, this.#meanWorkMs));
        const occupancy = this.#occupancy * weight + this.#meanOccupancy * (1 - weight) + sent;
        const excess = Math.log1p(Math.exp(Math.min(MAXIMUM_EXPONENT, occupancy + 1 - slots)));
        return excess * this.estimateWork(now) / slots;
    }
}
