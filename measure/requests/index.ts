/**
 * Measures the overhead of the request path over a direct call: the same load goes directly, through a
 * bare forwarding hop, and through the proxy (local, slot lease, relayed), interleaved in one run.
 */
import { createHistogram, createMeasuredPath, runFixedRate, runLowRate, runSaturating } from "./LoadGenerator.js";
import type { MeasuredPath } from "./LoadGenerator.js";
import { startProcessGroup } from "./ProcessGroup.js";
import type { ProcessGroup, StartedProcess } from "./ProcessGroup.js";

/** Added latency at p99 that the design allows. */
const TARGET_ADDED_P99_MS = 0.53;
const MICROSECONDS_PER_MS = 1_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_MB = 1_048_576;

const WARM_UP_ROUNDS = 600;
const WARM_UP_MS = 1_500;
const LOW_RATE_PAUSE_MS = 1;
const FIXED_RATE_BLOCK_MS = 250;
const FIXED_RATE_PER_SECOND = 500;
const SATURATING_CONCURRENCY = 16;
const SATURATING_MS = 2_000;
const CONNECTIONS = 32;

interface PathPlan {
    readonly path: MeasuredPath;
    /** Processes whose CPU time counts as the cost of the path. */
    readonly processes: readonly StartedProcess[];
}

/** `args`: rounds at the low rate (default 3000) and blocks at the fixed rate (default 12). */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    const rounds = Number(args[0] ?? 3_000);
    const blocks = Number(args[1] ?? 12);
    const group = await startProcessGroup();
    try {
        const plans = planPaths(group);
        const paths = plans.map(plan => plan.path);
        await runLowRate(paths, WARM_UP_ROUNDS, 0);
        // Waits for the time after an owner's start in which it grants no slot leases.
        await runFixedRate(paths, 2, FIXED_RATE_BLOCK_MS, FIXED_RATE_PER_SECOND);
        // Lets the JIT compiler warm up in every process alike before they are compared.
        for (const path of paths) {
            await runSaturating(path, SATURATING_CONCURRENCY, WARM_UP_MS);
        }
        resetResults(paths);
        await runLowRate(paths, rounds, LOW_RATE_PAUSE_MS);
        printLatencies(`low rate, one at a time, ${rounds} each`, paths);
        resetResults(paths);
        await runFixedRate(paths, blocks, FIXED_RATE_BLOCK_MS, FIXED_RATE_PER_SECOND);
        printLatencies(`${FIXED_RATE_PER_SECOND} requests/s in blocks of ${FIXED_RATE_BLOCK_MS} ms`, paths);
        for (const plan of plans) {
            await printCost(plan);
        }
        await printMemory(group);
        return paths.some(path => path.failures > 0) ? 1 : 0;
    }
    finally {
        for (const each of Object.values(group)) {
            each.stop();
        }
    }
}

function planPaths(group: ProcessGroup): PathPlan[] {
    const plan = (name: string, entry: StartedProcess, processes: readonly StartedProcess[]): PathPlan => ({
        path: createMeasuredPath(name, entry.requestPort, CONNECTIONS),
        processes,
    });
    return [
        plan("without mesh", group.server, [group.server]),
        plan("bare hop", group["bare-hop"], [group["bare-hop"]]),
        plan("proxy, local", group.owner, [group.owner]),
        plan("proxy, slot lease", group.leasing, [group.leasing]),
        plan("proxy, relayed", group.relaying, [group.relaying, group.owner]),
    ];
}

function resetResults(paths: readonly MeasuredPath[]): void {
    for (const path of paths) {
        path.histogram = createHistogram();
    }
}

function printLatencies(title: string, paths: readonly MeasuredPath[]): void {
    print(`\n${title}: latency in ms, and added to the way without mesh`);
    const [base] = paths;
    for (const path of paths) {
        const columns = [50, 99, 99.9].map(percentile => {
            const value = path.histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
            const added = value - (base?.histogram.getValueAtPercentile(percentile) ?? 0) / MICROSECONDS_PER_MS;
            return `p${percentile} ${value.toFixed(3)} (+${added.toFixed(3)})`;
        });
        const failures = path.failures > 0 ? `  ${path.failures} FAILED` : "";
        print(`  ${path.name.padEnd(18)} ${columns.join("   ")}   n=${path.histogram.totalCount}${failures}`);
    }
    print(`  target: +${TARGET_ADDED_P99_MS} at p99`);
}

/** Prints the requests per second, in total and per second of CPU time of the processes on the path. */
async function printCost({ path, processes }: PathPlan): Promise<void> {
    const before = await readCpu(processes);
    const answers = await runSaturating(path, SATURATING_CONCURRENCY, SATURATING_MS);
    const cpu = await readCpu(processes) - before;
    const perCore = answers / (cpu / MICROSECONDS_PER_SECOND);
    const perSecond = answers / (SATURATING_MS / MICROSECONDS_PER_MS);
    print(
        `${path.name.padEnd(18)} ${perSecond.toFixed(0)} requests/s, ${perCore.toFixed(0)} for each core of `
            + `${processes.map(each => each.role).join(" and ")}, ${(cpu / answers).toFixed(0)} us each`,
    );
}

async function readCpu(processes: readonly StartedProcess[]): Promise<number> {
    const usages = await Promise.all(processes.map(each => each.readUsage()));
    return usages.reduce((sum, usage) => sum + usage.cpuMicroseconds, 0);
}

async function printMemory(group: ProcessGroup): Promise<void> {
    for (const each of Object.values(group)) {
        const usage = await each.readUsage();
        const rss = (usage.rssBytes / BYTES_PER_MB).toFixed(0);
        print(`${each.role.padEnd(18)} ${rss} MB resident, ${(usage.heapBytes / BYTES_PER_MB).toFixed(0)} MB heap`);
    }
}

function print(line: string): void {
    process.stdout.write(`${line}\n`);
}
