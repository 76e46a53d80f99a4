import type { RequestRecord } from "../../../../coordination/recording/index.js";

import { createSocket } from "node:dgram";
import { once } from "node:events";
import { expect, test } from "vitest";
import { createRequestMetrics, startMetricsSender } from "../../index.js";
import { MAXIMUM_COUNTERS, MAXIMUM_SERIES } from "../../MetricsConstants.js";

function createRecord(overrides: Partial<RequestRecord> = {}): RequestRecord {
    return {
        requestId: "r1",
        method: "GET",
        path: "/status",
        route: "status",
        service: "status-desk",
        class: "families",
        status: 200,
        outcome: "answered",
        attempts: 1,
        hop: "direct",
        server: "erie-a-1",
        latencyMs: 2,
        queuedMs: 0,
        ...overrides,
    };
}

// Guards against wrong units and against values outside a histogram's range, for which the library throws.
test("percentiles are in milliseconds, and values outside a histogram's range are clamped", () => {
    const metrics = createRequestMetrics();
    for (let index = 0; index < 99; index += 1) {
        metrics.record(createRecord());
    }
    metrics.record(createRecord({ latencyMs: 10_000_000, queuedMs: -1, attempts: 1_000 }));
    const [series] = metrics.summarize().series;
    expect(series?.count).toBe(100);
    expect(series?.latencyMs.p50).toBeCloseTo(2, 1);
    expect(series?.latencyMs.maximum).toBeGreaterThan(59_000);
    expect(series?.attempts.p50).toBe(1);
});

// Guards against memory that grows with names chosen by callers or with the number of services.
test("series and counters beyond their limits are combined under the label (other)", () => {
    const metrics = createRequestMetrics();
    for (let index = 0; index < 2_000; index += 1) {
        metrics.record(createRecord({ service: `service-${index}` }));
        metrics.count({ kind: "refused", reason: `reason-${index}`, service: undefined, class: undefined });
    }
    const { series, events } = metrics.summarize();
    expect(series).toHaveLength(MAXIMUM_SERIES + 1);
    expect(series.at(-1)).toMatchObject({ service: "(other)", count: 2_000 - MAXIMUM_SERIES });
    expect(events).toHaveLength(MAXIMUM_COUNTERS + 1);
    expect(events.at(-1)).toMatchObject({ kind: "refused", reason: "(other)", count: 2_000 - MAXIMUM_COUNTERS });
});

// Guards against metrics that are never sent, or that are sent without a configured address.
test("the changes of an interval are sent as datagrams, and nothing is sent without an address", async () => {
    const receiver = createSocket("udp4");
    receiver.bind(0, "127.0.0.1");
    await once(receiver, "listening");
    const received: string[] = [];
    receiver.on("message", message => received.push(...message.toString().split("\n")));
    const metrics = createRequestMetrics();
    metrics.record(createRecord());
    metrics.count({ kind: "retried", reason: "closed", service: "status-desk", class: "families" });
    const onError = (error: Error): void => expect.unreachable(error.message);
    const options = { metrics, tags: { daemon: "erie-a-1" }, onError };
    const stopNothing = await startMetricsSender({ ...options, target: undefined });
    await stopNothing();
    const target = { address: "127.0.0.1", port: receiver.address().port };
    const stop = await startMetricsSender({ ...options, target });
    const arrived = once(receiver, "message");
    await stop();
    await arrived;
    receiver.close();
    expect(received.map(line => line.split("|")[0]).sort()).toEqual([
        "papayaturn.latency_ms.max:2",
        "papayaturn.latency_ms.p50:2.007",
        "papayaturn.latency_ms.p99:2.007",
        "papayaturn.requests:1",
        "papayaturn.retried:1",
    ]);
});
