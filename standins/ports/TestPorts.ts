/** Ports for tests that need them before their servers listen; concurrent workers never share one. */

/** Below the ports of the demo and the ephemeral ports of operating systems. */
const FIRST_PORT = 15_000;
const PORTS_PER_WORKER = 400;

let takenCount = 0;

/** Returns a port that no other test of this run uses at the same time. */
export function takeTestPort(): number {
    const worker = Number(process.env["VITEST_POOL_ID"] ?? 0);
    return FIRST_PORT + worker * PORTS_PER_WORKER + takenCount++ % PORTS_PER_WORKER;
}
