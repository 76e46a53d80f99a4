import { readFileSync } from "node:fs";
import { expect, test } from "vitest";
import { selectFreePorts } from "../../FreePorts.js";

const DEFAULT_EPHEMERAL_START = 32_768;
const RANGE_FILE = "/proc/sys/net/ipv4/ip_local_port_range";

function readEphemeralStart(): number {
    try {
        return Number(readFileSync(RANGE_FILE, "utf8").split(/\s+/)[0]);
    }
    catch {
        return DEFAULT_EPHEMERAL_START;
    }
}

// Guards against a daemon that fails to start because an outgoing connection has taken its chosen port.
test("52 chosen ports are distinct and below the range of ephemeral ports", async () => {
    const ports = await selectFreePorts(52);
    expect(new Set(ports).size).toBe(52);
    expect(ports.filter(port => port >= readEphemeralStart())).toEqual([]);
});
