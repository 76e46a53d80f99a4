import type { MeasuredMesh, MeshCounts } from "./MeasuredMesh.js";
import type { CallResult } from "./OpenLoopLoad.js";

import { computePercentile } from "./ClaimCost.js";

const MS_PER_S = 1_000;

/** Latency of answered requests in milliseconds. */
interface LatencyFigures {
    readonly p50: number;
    readonly p99: number;
}

interface EventCount {
    /** Kind and reason, for example `retried overloaded`. */
    readonly name: string;
    readonly count: number;
}

/** Figures of one phase under one policy. */
export interface PhaseFigures {
    readonly phase: string;
    readonly offered: number;
    /** Requests answered successfully per second. */
    readonly goodput: number;
    readonly failed: number;
    /** Requests reported to the caller as not run. */
    readonly notRun: number;
    readonly retried: number;
    readonly ejected: number;
    /** Refusals, retries and ejections by reason, as the daemons counted them. */
    readonly events: readonly EventCount[];
    /** Deposits that ran more than once. */
    readonly depositsRunTwice: number;
    /** Other requests that ran more than once. */
    readonly othersRunTwice: number;
    /** Requests reported as not run although a server had executed them. */
    readonly notRunButExecuted: number;
    readonly deposits: LatencyFigures;
    readonly others: LatencyFigures;
}

/** Computes a phase's figures; `before` holds the mesh's counts at its start. */
export function summarizePhase(
    phase: string,
    results: readonly CallResult[],
    durationMs: number,
    mesh: MeasuredMesh,
    before: MeshCounts,
): PhaseFigures {
    const events = [...mesh.readCounts()]
        .map(([name, count]) => ({ name, count: count - (before.get(name) ?? 0) }))
        .filter(event => event.count > 0);
    const answered = results.filter(result => result.outcome === "answered");
    const repeated = results.filter(result => mesh.countExecutions(result.request) > 1);
    return {
        phase,
        offered: results.length,
        goodput: answered.length * MS_PER_S / durationMs,
        failed: results.filter(result => result.outcome === "failed").length,
        notRun: results.filter(result => result.outcome === "not-run").length,
        retried: sumEvents(events, "retried"),
        ejected: sumEvents(events, "ejected"),
        events,
        depositsRunTwice: repeated.filter(result => result.isDeposit).length,
        othersRunTwice: repeated.filter(result => !result.isDeposit).length,
        notRunButExecuted:
            results.filter(result => result.wasReportedNotRun && mesh.countExecutions(result.request) > 0).length,
        deposits: describeLatency(answered.filter(result => result.isDeposit)),
        others: describeLatency(answered.filter(result => !result.isDeposit)),
    };
}

function sumEvents(events: readonly EventCount[], kind: string): number {
    return events.filter(event => event.name.startsWith(kind)).reduce((sum, event) => sum + event.count, 0);
}

function describeLatency(results: readonly CallResult[]): LatencyFigures {
    const latencies = results.map(result => result.latencyMs);
    return { p50: computePercentile(latencies, 0.5), p99: computePercentile(latencies, 0.99) };
}

const HEADING = [
    "phase".padEnd(13),
    "offered",
    "good/s",
    "failed",
    "not run",
    "retried",
    "ejected",
    "deposits twice",
    "others twice",
    "not run but ran",
    "deposits p50/p99",
    "others p50/p99 ms",
];

/** Renders one policy's figures as a table. */
export function formatFigures(policy: string, figures: readonly PhaseFigures[]): string {
    const rows = figures.map(row => [
        row.phase.padEnd(13),
        String(row.offered),
        row.goodput.toFixed(1),
        String(row.failed),
        String(row.notRun),
        String(row.retried),
        String(row.ejected),
        String(row.depositsRunTwice),
        String(row.othersRunTwice),
        String(row.notRunButExecuted),
        formatLatency(row.deposits),
        formatLatency(row.others),
    ]);
    const lines = [HEADING, ...rows].map(cells =>
        cells.map((cell, index) => cell.padStart(HEADING[index]?.length ?? 0)).join("  ")
    );
    const reasons = figures
        .filter(row => row.events.length > 0)
        .map(row => `  ${row.phase}: ${row.events.map(event => `${event.name} ${event.count}`).join(", ")}`);
    return [`policy: ${policy}`, ...lines, "events by reason", ...reasons].join("\n");
}

function formatLatency({ p50, p99 }: LatencyFigures): string {
    return `${p50.toFixed(0)}/${p99.toFixed(0)}`;
}
