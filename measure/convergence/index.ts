/**
 * Measures convergence time and control traffic at several sizes, compared with the baseline in which
 * every daemon watches the store and reads each version in full.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { computeLinearFit, computePercentile, Fleet, printRows } from "../fleet/index.js";
import type { FleetMode, FleetTotals } from "../fleet/index.js";

const SETTLE_MS = 3_000;
const IDLE_WINDOW_MS = 4_000;
const PAUSE_BETWEEN_CHANGES_MS = 300;
const MICROSECONDS_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;

interface FleetSetup {
    readonly mode: FleetMode;
    readonly size: number;
    readonly weighing: string;
    readonly changes: number;
}

interface ConvergenceResult extends FleetSetup {
    readonly convergence: readonly number[];
    readonly idle: IdleCosts;
    /** Bytes of one change in excess of the idle traffic, over all daemons. */
    readonly changeBytes: number;
    readonly changeBytesAcrossRegions: number;
    /** Peak store calls per second while the daemons start. */
    readonly startStoreCalls: number;
    /** Peak store calls per second during the changes. */
    readonly changeStoreCalls: number;
    readonly rssMb: number;
    readonly heapMb: number;
}

/** Costs of all daemons per second without changes. */
interface IdleCosts {
    readonly bytes: number;
    readonly bytesAcrossRegions: number;
    readonly storeCalls: number;
    readonly cpuMs: number;
}

/** `--sizes 52,104,208 --weighing convergence,bytes --changes 4`. */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    const { values } = parseArgs({
        args: [...args],
        options: {
            changes: { default: "4", type: "string" },
            sizes: { default: "52,104,208", type: "string" },
            weighing: { default: "convergence,bytes", type: "string" },
        },
    });
    const sizes = values.sizes.split(",").map(Number);
    const changes = Number(values.changes);
    const results: ConvergenceResult[] = [];
    for (const size of sizes) {
        for (const weighing of values.weighing.split(",")) {
            results.push(await measureFleet({ changes, mode: "mesh", size, weighing }));
        }
        results.push(await measureFleet({ changes, mode: "baseline", size, weighing: "convergence" }));
    }
    printResults(results);
    printLinearFits(results);
    return 0;
}

async function measureFleet(setup: FleetSetup): Promise<ConvergenceResult> {
    const fleet = await Fleet.start(setup.mode, setup.size, setup.weighing);
    try {
        const first = await fleet.applyNextRevision();
        await fleet.startDaemons();
        await fleet.awaitInForce(first.version);
        await sleep(SETTLE_MS);
        const before = await fleet.readTotals();
        await sleep(IDLE_WINDOW_MS);
        const after = await fleet.readTotals();
        const idle = computeRates(before, after, IDLE_WINDOW_MS);
        const begin = performance.now();
        const convergence = await measureChanges(fleet, setup.changes);
        const changed = await fleet.readTotals();
        const seconds = (performance.now() - begin) / 1_000;
        return {
            ...setup,
            changeBytes: (changed.sentBytes - after.sentBytes - idle.bytes * seconds) / setup.changes,
            changeBytesAcrossRegions:
                (changed.sentBytesAcrossRegions - after.sentBytesAcrossRegions - idle.bytesAcrossRegions * seconds)
                / setup.changes,
            convergence,
            heapMb: after.heapBytes / BYTES_PER_MB,
            idle,
            startStoreCalls: before.peakStoreCalls,
            changeStoreCalls: changed.peakStoreCalls,
            rssMb: after.rssBytes / BYTES_PER_MB,
        };
    }
    finally {
        await fleet.stop();
    }
}

async function measureChanges(fleet: Fleet, changes: number): Promise<readonly number[]> {
    const times: number[] = [];
    for (let change = 0; change < changes; change++) {
        const { at, version } = await fleet.applyNextRevision();
        times.push(...(await fleet.awaitInForce(version)).map(time => time - at));
        await sleep(PAUSE_BETWEEN_CHANGES_MS);
    }
    return times;
}

function computeRates(before: FleetTotals, after: FleetTotals, durationMs: number): IdleCosts {
    const seconds = durationMs / 1_000;
    return {
        bytes: (after.sentBytes - before.sentBytes) / seconds,
        bytesAcrossRegions: (after.sentBytesAcrossRegions - before.sentBytesAcrossRegions) / seconds,
        cpuMs: (after.cpuMicroseconds - before.cpuMicroseconds) / MICROSECONDS_PER_MS / seconds,
        storeCalls: (after.storeCalls - before.storeCalls) / seconds,
    };
}

function printResults(results: readonly ConvergenceResult[]): void {
    process.stdout.write("convergence in ms; bytes are sent by daemons, and both ways between daemons and the store\n");
    printRows([
        [
            "mode",
            "weighing",
            "daemons",
            "p50",
            "p99",
            "max",
            "idle B/s/daemon",
            "idle across B/s",
            "B/change",
            "across B/change",
            "store calls/s: start",
            "changes",
            "cpu %/daemon",
            "heap MB/daemon",
            "rss MB/process",
        ],
        ...results.map(({ convergence, idle, mode, size, weighing, ...rest }) => [
            mode,
            mode === "mesh" ? weighing : "-",
            size,
            computePercentile(convergence, 0.5),
            computePercentile(convergence, 0.99),
            Math.max(...convergence),
            idle.bytes / size,
            idle.bytesAcrossRegions,
            rest.changeBytes,
            rest.changeBytesAcrossRegions,
            rest.startStoreCalls,
            rest.changeStoreCalls,
            idle.cpuMs / size / 10,
            rest.heapMb / size,
            rest.rssMb / 4,
        ]),
    ]);
}

/** Prints linear fits over the number of daemons, from which docs/CAPACITY.md extrapolates. */
function printLinearFits(results: readonly ConvergenceResult[]): void {
    const figures: readonly [string, (measured: ConvergenceResult) => number][] = [
        ["convergence p99, ms", measured => computePercentile(measured.convergence, 0.99)],
        ["idle bytes/s, all daemons", measured => measured.idle.bytes],
        ["idle bytes/s for one daemon", measured => measured.idle.bytes / measured.size],
        ["idle bytes/s across regions", measured => measured.idle.bytesAcrossRegions],
        ["bytes for one change, all daemons", measured => measured.changeBytes],
        ["bytes for one change across regions", measured => measured.changeBytesAcrossRegions],
        ["store calls/s, idle", measured => measured.idle.storeCalls],
        ["peak store calls/s at the start", measured => measured.startStoreCalls],
        ["peak store calls/s with changes", measured => measured.changeStoreCalls],
        ["cpu ms/s, all daemons", measured => measured.idle.cpuMs],
        ["cpu ms/s for one daemon", measured => measured.idle.cpuMs / measured.size],
        ["heap MB, all daemons", measured => measured.heapMb],
        ["rss MB, 4 processes", measured => measured.rssMb],
    ];
    const groups = new Map<string, ConvergenceResult[]>();
    for (const result of results) {
        const name = result.mode === "mesh" ? `mesh, ${result.weighing}` : "baseline";
        groups.set(name, [...(groups.get(name) ?? []), result]);
    }
    for (const [name, group] of groups) {
        process.stdout.write(`\nlinear fit over the number of daemons: ${name}\n`);
        printRows(figures.map(([figure, read]) => {
            const { intercept, slope } = computeLinearFit(
                group.map(measured => ({ x: measured.size, y: read(measured) })),
            );
            return [figure, `${intercept.toPrecision(3)} + ${slope.toPrecision(3)} n`];
        }));
    }
}
