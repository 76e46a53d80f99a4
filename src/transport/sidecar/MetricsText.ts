/** Metrics in the Prometheus text format. */
import type { RequestMetrics } from "../metrics/index.js";

/** A value that is read at each scrape. */
export interface Gauge {
    readonly name: string;
    read(): number;
}

const MS_PER_SECOND = 1_000;

/** Renders counters, latency quantiles in seconds, and gauges. */
export function renderMetrics(metrics: RequestMetrics, gauges: readonly Gauge[]): string {
    const lines: string[] = [];
    const { events, series } = metrics.summarize();
    for (const { count, latencyMs, queuedMs, ...labels } of series) {
        const common = `class="${labels.class}",service="${labels.service}"`;
        lines.push(`papayaturn_requests_total{${common}} ${count}`);
        for (const [name, distribution] of [["latency", latencyMs], ["queued", queuedMs]] as const) {
            for (
                const [quantile, value] of [["0.5", distribution.p50], ["0.9", distribution.p90], [
                    "0.99",
                    distribution.p99,
                ]]
            ) {
                lines.push(
                    `papayaturn_${name}_seconds{${common},quantile="${quantile}"} ${Number(value) / MS_PER_SECOND}`,
                );
            }
        }
    }
    for (const event of events) {
        lines.push(
            `papayaturn_events_total{kind="${event.kind}",reason="${event.reason}",service="${event.service}",`
                + `class="${event.class}"} ${event.count}`,
        );
    }
    for (const gauge of gauges) {
        lines.push(`papayaturn_${gauge.name} ${formatValue(gauge.read())}`);
    }
    return `${lines.join("\n")}\n`;
}

function formatValue(value: number): string {
    return value === Infinity ? "+Inf" : String(value);
}
