/**
 * Measures an outage of the store: whether versions stay in force, whether restarted daemons recover
 * during it, and the convergence time of the first version accepted after it.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { parseArgs } from "node:util";
import { computePercentile, Fleet, printRows, readPreciseTime } from "../fleet/index.js";
import type { FleetMode } from "../fleet/index.js";

const SETTLE_MS = 4_000;
/** Time limit for the daemons of a restarted failure domain to recover during the outage. */
const RECOVERY_LIMIT_MS = 15_000;

interface OutageResult {
    readonly mode: FleetMode;
    readonly size: number;
    readonly inForceDuringOutage: number;
    readonly recoveredDuringOutage: number;
    readonly peakStoreCalls: number;
    readonly convergenceAfterOutage: readonly number[];
}

/** `--sizes 104 --outage 10000`: daemon counts, and milliseconds of outage before a failure domain restarts. */
export async function runMeasurement(args: readonly string[]): Promise<number> {
    const { values } = parseArgs({
        args: [...args],
        options: {
            outage: { default: "10000", type: "string" },
            sizes: { default: "104", type: "string" },
        },
    });
    const results: OutageResult[] = [];
    for (const size of values.sizes.split(",").map(Number)) {
        for (const mode of ["mesh", "baseline"] as const) {
            results.push(await measureOutage(mode, size, Number(values.outage)));
        }
    }
    printRows([
        [
            "mode",
            "daemons",
            "in force in outage",
            "after a domain restarts in it",
            "peak store calls/s",
            "first change p50",
            "max",
        ],
        ...results.map((
            {
                convergenceAfterOutage,
                inForceDuringOutage,
                mode,
                peakStoreCalls,
                recoveredDuringOutage,
                size,
            },
        ) => [
            mode,
            size,
            inForceDuringOutage,
            recoveredDuringOutage,
            peakStoreCalls,
            computePercentile(convergenceAfterOutage, 0.5),
            Math.max(...convergenceAfterOutage),
        ]),
    ]);
    return 0;
}

async function measureOutage(mode: FleetMode, size: number, outageMs: number): Promise<OutageResult> {
    const fleet = await Fleet.start(mode, size, "convergence");
    try {
        const first = await fleet.applyNextRevision();
        await fleet.startDaemons();
        await fleet.awaitInForce(first.version);
        await sleep(SETTLE_MS);
        await fleet.readTotals();
        fleet.store.setFaults({ outage: true });
        await sleep(outageMs);
        const inForceDuringOutage = await fleet.countInForce(first.version);
        await fleet.crash("superior-a");
        await fleet.startDaemons(["superior-a"]);
        const recoveredDuringOutage = await awaitInForceCount(fleet, first.version, size);
        const { peakStoreCalls } = await fleet.readTotals();
        fleet.store.setFaults({ outage: false });
        const second = await fleet.applyNextRevision();
        const times = await fleet.awaitInForce(second.version);
        return {
            convergenceAfterOutage: times.map(time => time - second.at),
            inForceDuringOutage,
            mode,
            peakStoreCalls,
            recoveredDuringOutage,
            size,
        };
    }
    finally {
        await fleet.stop();
    }
}

async function awaitInForceCount(fleet: Fleet, version: number, size: number): Promise<number> {
    const deadline = readPreciseTime() + RECOVERY_LIMIT_MS;
    let count = await fleet.countInForce(version);
    while (count < size && readPreciseTime() < deadline) {
        await sleep(200);
        count = await fleet.countInForce(version);
    }
    return count;
}
