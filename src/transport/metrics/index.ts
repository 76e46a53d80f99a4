/** Histograms and counters of requests, readable by operators and sent to a metrics service. */
export { startMetricsSender } from "./MetricsSender.js";
export type { MetricsAddress, MetricsSenderOptions } from "./MetricsSender.js";
export { combineRecorders, createRequestMetrics } from "./RequestMetrics.js";
export type { EventCount, MetricsSummary, RequestMetrics } from "./RequestMetrics.js";
export type { Distribution, SeriesSummary } from "./Series.js";
