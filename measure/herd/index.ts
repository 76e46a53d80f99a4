/**
 * Measures the restart of a whole failure domain without state: time until each of its daemons has a
 * version in force, peak store calls, and bytes sent.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { computeLinearFit, computePercentile, DOMAINS, Fleet, printRows, readPreciseTime } from "../fleet/index.js";
import type { FleetMode } from "../fleet/index.js";

const SETTLE_MS = 4_000;
/** Time from the crash until the daemons are started again. */
const DOWNTIME_MS = 500;

interface RestartResult {
    readonly mode: FleetMode;
    readonly size: number;
    readonly restarted: number;
    readonly recovery: readonly number[];
    readonly peakStoreCalls: number;
    readonly bytes: number;
    readonly bytesAcrossRegions: number;
}

/** `--sizes 52,104,208 --domain superior-a`. */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    const { values } = parseArgs({
        args: [...args],
        options: {
            domain: { default: "superior-a", type: "string" },
            sizes: { default: "52,104,208", type: "string" },
        },
    });
    const results: RestartResult[] = [];
    for (const size of values.sizes.split(",").map(Number)) {
        results.push(await measureRestart("mesh", size, values.domain));
        results.push(await measureRestart("baseline", size, values.domain));
    }
    process.stdout.write(`restart of ${values.domain}; recovery in ms from the start of its daemons\n`);
    printRows([
        ["mode", "daemons", "restarted", "p50", "p99", "max", "peak store calls/s", "KB", "KB across regions"],
        ...results.map((
            { bytes, bytesAcrossRegions, mode, peakStoreCalls, recovery, restarted, size },
        ) => [
            mode,
            size,
            restarted,
            computePercentile(recovery, 0.5),
            computePercentile(recovery, 0.99),
            Math.max(...recovery),
            peakStoreCalls,
            bytes / 1_024,
            bytesAcrossRegions / 1_024,
        ]),
    ]);
    for (const mode of ["mesh", "baseline"] as const) {
        const points = results.filter(result => result.mode === mode);
        const fit = computeLinearFit(
            points.map(({ peakStoreCalls, restarted }) => ({ x: restarted, y: peakStoreCalls })),
        );
        process.stdout.write(`${mode}: peak store calls/s = ${fit.intercept.toPrecision(3)} + `);
        process.stdout.write(`${fit.slope.toPrecision(3)} for each restarted daemon\n`);
    }
    return 0;
}

async function measureRestart(mode: FleetMode, size: number, domain: string): Promise<RestartResult> {
    const fleet = await Fleet.start(mode, size, "balanced");
    try {
        const { version } = await fleet.applyNextRevision();
        await fleet.startDaemons();
        await fleet.awaitInForce(version);
        await sleep(SETTLE_MS);
        const before = await fleet.readTotals();
        await fleet.crash(domain);
        await sleep(DOWNTIME_MS);
        const begin = readPreciseTime();
        await fleet.startDaemons([domain]);
        const times = await fleet.awaitInForce(version);
        const after = await fleet.readTotals();
        return {
            bytes: after.sentBytes - before.sentBytes,
            bytesAcrossRegions: after.sentBytesAcrossRegions - before.sentBytesAcrossRegions,
            mode,
            peakStoreCalls: after.peakStoreCalls,
            recovery: times.filter(time => time >= begin).map(time => time - begin),
            restarted: Math.floor(size / DOMAINS.length),
            size,
        };
    }
    finally {
        await fleet.stop();
    }
}
