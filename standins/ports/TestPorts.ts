/** Ports for tests that need them before their servers listen; no two test processes of a machine share one. */
import { tmpdir } from "node:os";
import { join } from "node:path";
import { claimBlock, PORT_BLOCKS } from "./PortBlocks.js";

/** Below the ports of the demo and the ephemeral ports of operating systems. */
const FIRST_PORT = 15_000;
/** The blocks end at port 20,000. */
const PORTS_PER_BLOCK = 5_000 / PORT_BLOCKS;

let firstPort: number | undefined;
let takenCount = 0;

/** Returns a port that no other test of this machine uses at the same time. */
export function takeTestPort(): number {
    firstPort ??= FIRST_PORT + claimBlock(join(tmpdir(), "papayaturn-test-ports"), process.pid) * PORTS_PER_BLOCK;
    return firstPort + takenCount++ % PORTS_PER_BLOCK;
}
