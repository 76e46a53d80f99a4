import type { StatsD } from "hot-shots";
import type { EventCount, RequestMetrics } from "./RequestMetrics.js";
import type { Series } from "./Series.js";

import { DEFAULT_FLUSH_INTERVAL_MS, MAXIMUM_DATAGRAM_BYTES, METRICS_PREFIX } from "./MetricsConstants.js";

/** Destination of metrics, which are sent as UDP datagrams in the StatsD format with tags. */
export interface MetricsAddress {
    /** IP address. */
    readonly address: string;
    readonly port: number;
}

export interface MetricsSenderOptions {
    readonly metrics: RequestMetrics;
    /** Nothing is sent if undefined. */
    readonly target: MetricsAddress | undefined;
    /** Tags of every metric, for example the daemon's id. */
    readonly tags: Readonly<Record<string, string>>;
    readonly flushIntervalMs?: number;
    /** Called for each failure to send; failures never affect requests. */
    readonly onError: (error: Error) => void;
}

/**
 * Starts to send the changes of each interval, so that traffic depends on the number of series and not on
 * the rate of requests. Returns a function that sends the last interval and stops.
 */
export async function startMetricsSender(options: MetricsSenderOptions): Promise<() => Promise<void>> {
    const { metrics, target, onError } = options;
    if (target === undefined) {
        return () => Promise.resolve();
    }
    // Imported on demand, because the module takes about 12 MB of the daemon's memory.
    const { StatsD } = await import("hot-shots");
    const client = new StatsD({
        host: target.address,
        port: target.port,
        prefix: METRICS_PREFIX,
        globalTags: { ...options.tags },
        includeDataDogTags: false,
        maxBufferSize: MAXIMUM_DATAGRAM_BYTES,
        originDetection: false,
        errorHandler: onError,
    });
    const sent = new Map<string, number>();
    const sendInterval = (): void => {
        metrics.listSeries().forEach(series => sendSeries(client, series));
        metrics.listEvents().forEach(event => sendEvent(client, event, sent));
    };
    const timer = setInterval(sendInterval, options.flushIntervalMs ?? DEFAULT_FLUSH_INTERVAL_MS);
    timer.unref();
    return () => {
        clearInterval(timer);
        sendInterval();
        return new Promise(resolve => client.close(() => resolve()));
    };
}

function sendSeries(client: StatsD, series: Series): void {
    const { count, latencyMs } = series.takeInterval();
    if (count === 0) {
        return;
    }
    const tags = { class: series.class, service: series.service };
    client.increment("requests", count, tags);
    client.gauge("latency_ms.p50", latencyMs.p50, tags);
    client.gauge("latency_ms.p99", latencyMs.p99, tags);
    client.gauge("latency_ms.max", latencyMs.maximum, tags);
}

function sendEvent(client: StatsD, event: EventCount, sent: Map<string, number>): void {
    const { count, kind, ...labels } = event;
    const key = JSON.stringify([kind, labels]);
    const increase = count - (sent.get(key) ?? 0);
    if (increase > 0) {
        client.increment(kind, increase, labels);
        sent.set(key, count);
    }
}
