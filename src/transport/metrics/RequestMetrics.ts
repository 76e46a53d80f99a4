import type { CountedEvent, RequestRecord, RequestRecorder } from "../../coordination/recording/index.js";
import type { Series, SeriesSummary } from "./Series.js";

import { MAXIMUM_COUNTERS, MAXIMUM_SERIES, OVERFLOW_LABEL } from "./MetricsConstants.js";
import { createSeries } from "./Series.js";

/** Occurrences of one counted event since the daemon started. */
export interface EventCount {
    readonly kind: CountedEvent["kind"];
    readonly reason: string;
    readonly service: string;
    readonly class: string;
    readonly count: number;
}

/** Answer of `GET /v1/histograms`. */
export interface MetricsSummary {
    readonly series: readonly SeriesSummary[];
    readonly events: readonly EventCount[];
}

/** Histograms and counters of one daemon, limited in number to bound memory. */
export interface RequestMetrics extends RequestRecorder {
    summarize(): MetricsSummary;
    listSeries(): readonly Series[];
    listEvents(): readonly EventCount[];
}

const NO_LABEL = "(none)";

export function createRequestMetrics(): RequestMetrics {
    const series = new Map<string, Series>();
    const events = new Map<string, EventCount>();

    function record(request: RequestRecord): void {
        getSeries(request.class ?? NO_LABEL, request.service ?? NO_LABEL).record(request);
    }

    function getSeries(className: string, service: string): Series {
        const key = JSON.stringify([className, service]);
        const known = series.get(key);
        if (known) {
            return known;
        }
        if (series.size >= MAXIMUM_SERIES && service !== OVERFLOW_LABEL) {
            return getSeries(OVERFLOW_LABEL, OVERFLOW_LABEL);
        }
        const created = createSeries({ class: className, service });
        series.set(key, created);
        return created;
    }

    function count(event: CountedEvent): void {
        const labels = {
            kind: event.kind,
            reason: event.reason,
            service: event.service ?? NO_LABEL,
            class: event.class ?? NO_LABEL,
        };
        const isKnown = events.has(JSON.stringify(labels)) || events.size < MAXIMUM_COUNTERS;
        addEvent(
            isKnown
                ? labels
                : { kind: event.kind, reason: OVERFLOW_LABEL, service: OVERFLOW_LABEL, class: OVERFLOW_LABEL },
        );
    }

    function addEvent(labels: Omit<EventCount, "count">): void {
        const key = JSON.stringify(labels);
        events.set(key, { ...labels, count: (events.get(key)?.count ?? 0) + 1 });
    }

    const listSeries = (): readonly Series[] => [...series.values()];
    const listEvents = (): readonly EventCount[] => [...events.values()];

    function summarize(): MetricsSummary {
        return { series: listSeries().map(entry => entry.summarize()), events: listEvents() };
    }

    return { record, count, summarize, listSeries, listEvents };
}

/** Passes each record and event to several recorders, for example metrics and the access log. */
export function combineRecorders(recorders: readonly RequestRecorder[]): RequestRecorder {
    return {
        record: request => recorders.forEach(recorder => recorder.record(request)),
        count: event => recorders.forEach(recorder => recorder.count(event)),
    };
}
