import { Weighing } from "../../state/document/index.js";
import type { Random } from "../../state/shared/index.js";

/** Intervals that the document's `weighing` selects, in milliseconds. */
export interface DistributionIntervals {
    /** Between two digest comparisons with a neighbour. */
    readonly digestMs: number;
    /** Maximum wait of a region relay to batch several versions. */
    readonly batchMs: number;
    /** Between two summaries of a daemon to its parent. */
    readonly summaryMs: number;
}

const INTERVALS: Readonly<Record<Weighing, DistributionIntervals>> = {
    [Weighing.Balanced]: { batchMs: 250, digestMs: 2_000, summaryMs: 1_000 },
    [Weighing.Bytes]: { batchMs: 2_000, digestMs: 5_000, summaryMs: 5_000 },
    [Weighing.Convergence]: { batchMs: 0, digestMs: 1_000, summaryMs: 1_000 },
};

/** Returns the intervals of a weighing; a daemon without a configuration uses the balanced ones. */
export function selectIntervals(weighing: Weighing | undefined): DistributionIntervals {
    return INTERVALS[weighing ?? Weighing.Balanced];
}

const BACKOFF_BASE_MS = 50;
const BACKOFF_MAXIMUM_MS = 5_000;

/** Returns the delay before attempt number `attempt` (from 0): exponential backoff with full jitter. */
export function computeBackoffDelay(attempt: number, random: Random): number {
    return random() * Math.min(BACKOFF_MAXIMUM_MS, BACKOFF_BASE_MS * 2 ** Math.min(attempt, 16));
}
