import { build } from "hdr-histogram-js";
import type { Histogram } from "hdr-histogram-js";
import { Pool } from "undici";
import { LOOPBACK, MEASURED_PATH } from "./MeasuredDocument.js";

const MICROSECONDS_PER_MS = 1_000;
const OK_STATUS = 200;
const MAX_LATENCY_MICROSECONDS = 60_000_000;

/** A path on which requests reach the server, with the latencies measured on it. */
export interface MeasuredPath {
    readonly name: string;
    readonly pool: Pool;
    histogram: Histogram;
    failures: number;
}

export function createMeasuredPath(name: string, port: number, connections: number): MeasuredPath {
    const pool = new Pool(`http://${LOOPBACK}:${port}`, { connections, pipelining: 1, keepAliveTimeout: 60_000 });
    return { name, pool, histogram: createHistogram(), failures: 0 };
}

/** Creates a histogram of latencies in microseconds. */
export function createHistogram(): Histogram {
    return build({
        lowestDiscernibleValue: 1,
        highestTrackableValue: MAX_LATENCY_MICROSECONDS,
        numberOfSignificantValueDigits: 3,
    });
}

/** Sends one request and records its latency up to the last byte of the answer. */
export async function sendMeasuredRequest(path: MeasuredPath): Promise<void> {
    const startedAt = performance.now();
    const answer = await path.pool.request({ method: "GET", path: MEASURED_PATH });
    await answer.body.arrayBuffer();
    if (answer.statusCode !== OK_STATUS) {
        path.failures++;
    }
    path.histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MS));
}

/** Sends one request at a time to each path in turn, with a pause after each. */
export async function runLowRate(paths: readonly MeasuredPath[], rounds: number, pauseMs: number): Promise<void> {
    for (let round = 0; round < rounds; round++) {
        for (const path of paths) {
            await sendMeasuredRequest(path);
            await sleepFor(pauseMs);
        }
    }
}

/** Sends at a fixed rate independent of the answers (open loop), in short blocks to each path in turn. */
export async function runFixedRate(
    paths: readonly MeasuredPath[],
    rounds: number,
    blockMs: number,
    perSecond: number,
): Promise<void> {
    for (let round = 0; round < rounds; round++) {
        for (const path of paths) {
            const running: Promise<void>[] = [];
            const startedAt = performance.now();
            while (performance.now() - startedAt < blockMs) {
                const due = (performance.now() - startedAt) * perSecond / 1_000;
                while (running.length < due) {
                    running.push(sendMeasuredRequest(path));
                }
                await sleepFor(1);
            }
            await Promise.all(running);
        }
    }
}

/** Keeps `concurrency` requests in flight for `durationMs`; returns the number of answers. */
export async function runSaturating(path: MeasuredPath, concurrency: number, durationMs: number): Promise<number> {
    const startedAt = performance.now();
    let answers = 0;
    await Promise.all(Array.from({ length: concurrency }, async () => {
        while (performance.now() - startedAt < durationMs) {
            await sendMeasuredRequest(path);
            answers++;
        }
    }));
    return answers;
}

export function sleepFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
