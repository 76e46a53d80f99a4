/** Entry point of `npm run measure -- NAME`; each measurement is a folder next to this file. */

const MEASUREMENTS = ["convergence", "herd", "outage", "requests", "faults", "memory"] as const;

/** Exports of each measurement's `index.ts`. */
interface MeasurementModule {
    /** Runs the measurement, prints its result and returns the process's exit code. */
    runMeasurement(args: readonly string[]): Promise<number>;
}

async function runMeasurementByName(args: readonly string[]): Promise<number> {
    const [name, ...rest] = args;
    if (!MEASUREMENTS.some(known => known === name)) {
        process.stderr.write(`measure: expected one of ${MEASUREMENTS.join(", ")}.\n`);
        return 2;
    }
    const measurement = await import(`./${name}/index.js`) as MeasurementModule;
    return measurement.runMeasurement(rest);
}

process.exitCode = await runMeasurementByName(process.argv.slice(2));
