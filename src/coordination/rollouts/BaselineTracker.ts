/** Measures the answers of the servers of a service that aren't on trial, by route, for the comparison with candidates. */
import { MINIMUM_GOOD_SHARE, SLOW_FACTOR, SLOW_MARGIN_MS } from "./RolloutConstants.js";
import type { Baseline } from "./RolloutTypes.js";

interface RouteBaseline {
    answers: number;
    workMs: number;
    badShare: number;
}

/** Weight of the newest answer; the averages cover about the last 50. */
const SMOOTHING = 0.02;
/** Answers after which the mean work time is used; until then owners use what other callers have measured. */
const MINIMUM_ANSWERS = 5;
/** Answers that the assumed bad share counts for at first, so that a single bad one doesn't make the test blind. */
const PRIOR_ANSWERS = 20;
/** Highest bad share that is told: a candidate of a service with more can't be told from a bad one. */
const MAXIMUM_BAD_SHARE = 0.5;
const FIRST_SERVER_FAILURE = 500;

export class BaselineTracker {
    readonly #routes = new Map<string, RouteBaseline>();

    /** Records an answer; `workMs` is undefined for a request that broke off. */
    record(route: string, status: number, workMs: number | undefined): void {
        const baseline = this.#routes.get(route) ?? { answers: 0, badShare: MINIMUM_GOOD_SHARE, workMs: 0 };
        this.#routes.set(route, baseline);
        const isSlow = workMs !== undefined && baseline.answers >= MINIMUM_ANSWERS
            && workMs > SLOW_FACTOR * baseline.workMs + SLOW_MARGIN_MS;
        const isBad = workMs === undefined || status >= FIRST_SERVER_FAILURE || isSlow;
        baseline.badShare += (Number(isBad) - baseline.badShare)
            * Math.max(SMOOTHING, 1 / (baseline.answers + PRIOR_ANSWERS));
        if (workMs !== undefined && status < FIRST_SERVER_FAILURE) {
            baseline.answers++;
            baseline.workMs += (workMs - baseline.workMs) * Math.max(SMOOTHING, 1 / baseline.answers);
        }
    }

    read(route: string): Omit<Baseline, "usesSlack"> {
        const baseline = this.#routes.get(route);
        return {
            failureShare: Math.min(MAXIMUM_BAD_SHARE, Math.max(MINIMUM_GOOD_SHARE, baseline?.badShare ?? 0)),
            workMs: baseline === undefined || baseline.answers < MINIMUM_ANSWERS ? 0 : baseline.workMs,
        };
    }
}
