/**
 * Sequential test of the answers of one server on trial against the other servers of its service, by route and over all
 * routes (Wald's log-likelihood ratio; as a CUSUM for the rejection).
 */
import {
    BAD_SHARE,
    COLD_START_FACTOR,
    MAXIMUM_ROUTES,
    MINIMUM_GOOD_SHARE,
    SHARE_DISTANCE,
    SLOW_FACTOR,
    SLOW_MARGIN_MS,
    SLOW_SPACING_MS,
} from "./RolloutConstants.js";
import { ALL_ROUTES } from "./RolloutTypes.js";
import type { Baseline, RouteSums } from "./RolloutTypes.js";

/** An answer of the server, or the end of a request without one. */
export interface TrialResult {
    readonly route: string;
    readonly hasFailed: boolean;
    /** Work time until the answer, or until the request was abandoned. */
    readonly workMs: number;
    /** Whether the server was in its cold start when the request began. */
    readonly isCold: boolean;
}

/** Weight of the newest baseline; those of many callers are averaged, since each has few answers. */
const BASELINE_SMOOTHING = 0.1;

interface MeanBaseline {
    workMs: number;
    failureShare: number;
}

export class VersionEvidence {
    readonly #sums = new Map<string, RouteSums>();
    readonly #baselines = new Map<string, MeanBaseline>();
    #lastSlowAt = -Infinity;

    /** Takes over the sums of this server that other daemons remember, after a restart. */
    restore(sums: readonly RouteSums[]): void {
        for (const entry of sums) {
            if (!this.#sums.has(entry.route)) {
                this.#sums.set(entry.route, entry);
            }
        }
    }

    list(): readonly RouteSums[] {
        return [...this.#sums.values()];
    }

    recordBaseline(route: string, { failureShare, workMs }: Baseline): void {
        const mean = this.#baselines.get(route);
        if (mean === undefined) {
            this.#baselines.set(route, { failureShare, workMs });
            return;
        }
        mean.failureShare += (failureShare - mean.failureShare) * BASELINE_SMOOTHING;
        if (workMs > 0) {
            mean.workMs = mean.workMs === 0 ? workMs : mean.workMs + (workMs - mean.workMs) * BASELINE_SMOOTHING;
        }
    }

    /** Whether an answer after this time is bad, by the work time of the other servers; false while that isn't known. */
    isSlow(route: string, workMs: number, isCold: boolean): boolean {
        const usualMs = this.#baselines.get(route)?.workMs ?? 0;
        return usualMs > 0 && workMs > usualMs * SLOW_FACTOR * (isCold ? COLD_START_FACTOR : 1) + SLOW_MARGIN_MS;
    }

    record({ hasFailed, isCold, route, workMs }: TrialResult, now: number): void {
        const isSlow = !hasFailed && this.isSlow(route, workMs, isCold);
        if (isSlow && now - this.#lastSlowAt < SLOW_SPACING_MS) {
            return;
        }
        this.#lastSlowAt = isSlow ? now : this.#lastSlowAt;
        const isBad = hasFailed || isSlow;
        const goodShare = Math.max(MINIMUM_GOOD_SHARE, this.#baselines.get(route)?.failureShare ?? 0);
        const badShare = Math.min(0.95, Math.max(BAD_SHARE, goodShare + SHARE_DISTANCE));
        const step = isBad ? Math.log(badShare / goodShare) : Math.log((1 - badShare) / (1 - goodShare));
        if (this.#sums.has(route) || this.#sums.size < MAXIMUM_ROUTES) {
            this.#add(route, isBad, step);
        }
        this.#add(ALL_ROUTES, isBad, step);
    }

    #add(route: string, isBad: boolean, step: number): void {
        const sums = this.#sums.get(route) ?? { alarm: 0, bad: 0, ratio: 0, requests: 0, route };
        this.#sums.set(route, {
            alarm: Math.max(0, sums.alarm + step),
            bad: sums.bad + Number(isBad),
            ratio: sums.ratio + step,
            requests: sums.requests + 1,
            route,
        });
    }
}
