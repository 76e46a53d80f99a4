import histogramModule from "hdr-histogram-js/dist/Int32Histogram.js";
import type { RequestRecord } from "../../coordination/recording/index.js";
import {
    ATTEMPTS_DIGITS,
    LATENCY_DIGITS,
    MAXIMUM_ATTEMPTS,
    MAXIMUM_LATENCY_MS,
    MICROSECONDS_PER_MS,
} from "./MetricsConstants.js";

// The package's entry point would also load unused WebAssembly code and compression, which take 14 MB.
const Int32Histogram = selectDefault(histogramModule);
type Histogram = InstanceType<typeof Int32Histogram>;

const MINIMUM_VALUE = 1;

/** Mean, percentiles and maximum of one histogram; the unit is that of the property that holds it. */
export interface Distribution {
    readonly mean: number;
    readonly p50: number;
    readonly p90: number;
    readonly p99: number;
    readonly p999: number;
    readonly maximum: number;
}

/** Histograms of the requests of one class to one service since the daemon started. */
export interface SeriesSummary {
    readonly class: string;
    readonly service: string;
    readonly count: number;
    readonly latencyMs: Distribution;
    readonly queuedMs: Distribution;
    readonly attempts: Distribution;
}

/** Histograms of one pair of class and service. */
export interface Series {
    readonly class: string;
    readonly service: string;
    record(request: RequestRecord): void;
    summarize(): SeriesSummary;
    /** Returns count and latency in milliseconds since the last call, and resets them. */
    takeInterval(): { readonly count: number; readonly latencyMs: Distribution; };
}

export function createSeries(labels: { readonly class: string; readonly service: string; }): Series {
    const latency = createTimeHistogram();
    const recentLatency = createTimeHistogram();
    const queued = createTimeHistogram();
    const attempts = new Int32Histogram(MINIMUM_VALUE, MAXIMUM_ATTEMPTS, ATTEMPTS_DIGITS);

    function record(request: RequestRecord): void {
        recordTime(latency, request.latencyMs);
        recordTime(recentLatency, request.latencyMs);
        recordTime(queued, request.queuedMs);
        attempts.recordValue(Math.min(MAXIMUM_ATTEMPTS, Math.max(0, request.attempts)));
    }

    function summarize(): SeriesSummary {
        return {
            ...labels,
            count: latency.totalCount,
            latencyMs: summarizeHistogram(latency, MICROSECONDS_PER_MS),
            queuedMs: summarizeHistogram(queued, MICROSECONDS_PER_MS),
            attempts: summarizeHistogram(attempts, 1),
        };
    }

    function takeInterval() {
        const interval = {
            count: recentLatency.totalCount,
            latencyMs: summarizeHistogram(recentLatency, MICROSECONDS_PER_MS),
        };
        recentLatency.reset();
        return interval;
    }

    return { ...labels, record, summarize, takeInterval };
}

function createTimeHistogram(): Histogram {
    return new Int32Histogram(MINIMUM_VALUE, MAXIMUM_LATENCY_MS * MICROSECONDS_PER_MS, LATENCY_DIGITS);
}

function recordTime(histogram: Histogram, ms: number): void {
    const clamped = Math.min(MAXIMUM_LATENCY_MS, Math.max(0, ms));
    histogram.recordValue(Math.round(clamped * MICROSECONDS_PER_MS));
}

function summarizeHistogram(histogram: Histogram, unit: number): Distribution {
    const readPercentile = (percentile: number): number => histogram.getValueAtPercentile(percentile) / unit;
    return {
        mean: histogram.totalCount === 0 ? 0 : histogram.mean / unit,
        p50: readPercentile(50),
        p90: readPercentile(90),
        p99: readPercentile(99),
        p999: readPercentile(99.9),
        maximum: histogram.maxValue / unit,
    };
}

/** The module is CommonJS with a `default` export: Node.js imports all of it, test runners only that export. */
function selectDefault<Value extends abstract new(...values: never[]) => unknown>(
    imported: Value | { readonly default: Value; },
): Value {
    return typeof imported === "function" ? imported : imported.default;
}
