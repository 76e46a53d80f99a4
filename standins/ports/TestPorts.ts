/** Ports for tests whose servers must know them beforehand; workers that run at the same time never share one. */

/** Below the ports that the demo takes and that systems take for outgoing connections. */
const FIRST_PORT = 15_000;
const PORTS_PER_WORKER = 400;

let takenCount = 0;

/** Returns a port that no other test of this run uses at the same time. */
export function takeTestPort(): number {
    const worker = Number(process.env["VITEST_POOL_ID"] ?? 0);
    return FIRST_PORT + worker * PORTS_PER_WORKER + takenCount++ % PORTS_PER_WORKER;
}
