/** Measures the memory of each part when loaded, and its growth with members and services. */
import { execFile } from "node:child_process";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { computeLinearFit, printRows } from "../fleet/Statistics.js";
import type { MemoryReport } from "./MemoryProbe.js";

const PROBE = fileURLToPath(new URL("./MemoryProbe.js", import.meta.url));
/** The flags of the daemon's service unit, plus `--expose-gc`, which lets the probe collect garbage. */
const NODE_FLAGS = ["--max-semi-space-size=1", "--expose-gc"];
const BYTES_PER_MB = 1_000_000;

const MODULES = ["nothing", "request-path", "request-path-and-control", "daemon"];
const MEMBER_COUNTS = [2_250, 4_500, 9_000, 18_000];
const SERVICE_COUNTS = [122, 245, 490, 980];

const runFile = promisify(execFile);

async function probeMemory(name: string, size: number): Promise<MemoryReport> {
    const { stdout } = await runFile(process.execPath, [...NODE_FLAGS, PROBE, name, String(size)]);
    return JSON.parse(stdout) as MemoryReport;
}

async function measureModules(): Promise<void> {
    const rows: (readonly (string | number)[])[] = [["loaded", "resident MB", "heap MB"]];
    for (const name of MODULES) {
        const { heapBytes, residentBytes } = await probeMemory(name, 0);
        rows.push([name, residentBytes / BYTES_PER_MB, heapBytes / BYTES_PER_MB]);
    }
    printRows(rows);
}

async function measureGrowth(name: string, sizes: readonly number[]): Promise<void> {
    const rows: (readonly (string | number)[])[] = [[name, "resident MB", "heap MB"]];
    const points: { readonly x: number; readonly y: number; }[] = [];
    for (const size of sizes) {
        const { heapBytes, residentBytes } = await probeMemory(name, size);
        rows.push([size, residentBytes / BYTES_PER_MB, heapBytes / BYTES_PER_MB]);
        points.push({ x: size, y: heapBytes });
    }
    process.stdout.write("\n");
    printRows(rows);
    const { intercept, slope } = computeLinearFit(points);
    process.stdout.write(
        `linear fit of the heap: ${(intercept / BYTES_PER_MB).toPrecision(3)} MB + ${
            slope.toFixed(0)
        } bytes for each\n`,
    );
}

export async function runMeasurement(): Promise<number> {
    process.stdout.write("each row is one process, after a garbage collection\n");
    await measureModules();
    await measureGrowth("members", MEMBER_COUNTS);
    await measureGrowth("document", SERVICE_COUNTS);
    return 0;
}
