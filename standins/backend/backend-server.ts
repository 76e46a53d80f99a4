/**
 * Executable of the backend server stand-in. Prints one JSON object per line on standard output:
 * `{"event":"listening"}` with the port, then `{"event":"run"}` with the time for each request whose
 * execution starts. Writes to a pipe are synchronous, so a crash loses no event.
 * On SIGTERM it drains and exits.
 */
import type { ArgsDef } from "citty";
import { parseArgs } from "citty";
import { startBackendServer } from "./BackendServer.js";
import type { BackendServerOptions } from "./BackendServerOptions.js";
import { BACKEND_SERVER_DEFAULTS } from "./BackendServerOptions.js";

const CRASH_EXIT_CODE = 70;
const USAGE_EXIT_CODE = 2;

const FLAGS = {
    "answer-bytes": { type: "string" },
    "cold-start-ms": { type: "string" },
    "connections": { type: "string" },
    "daemon": { type: "string" },
    "drain-ms": { type: "string" },
    "host": { type: "string" },
    "port": { type: "string" },
    "reporting-lag-ms": { type: "string" },
    "seed": { type: "string" },
    "service": { type: "string" },
    "service-time-ms": { type: "string" },
    "slots": { type: "string" },
} as const satisfies ArgsDef;

function printEvent(event: Record<string, unknown>): void {
    process.stdout.write(`${JSON.stringify(event)}\n`);
}

function parseOptions(argv: string[]): BackendServerOptions | undefined {
    const flags = parseArgs<typeof FLAGS>(argv, FLAGS);
    if (flags.service === undefined) {
        return undefined;
    }
    const parseNumber = (value: string | undefined, fallback: number): number =>
        value === undefined ? fallback : Number(value);
    const defaults = BACKEND_SERVER_DEFAULTS;
    return {
        answerBytes: parseNumber(flags["answer-bytes"], defaults.answerBytes),
        coldStartMs: parseNumber(flags["cold-start-ms"], defaults.coldStartMs),
        connections: parseNumber(flags.connections, defaults.connections),
        daemonUrl: flags.daemon,
        drainMs: parseNumber(flags["drain-ms"], defaults.drainMs),
        host: flags.host ?? defaults.host,
        onCrash: () => process.exit(CRASH_EXIT_CODE),
        onExecution: execution => {
            printEvent({ event: "run", time: Date.now(), ...execution });
        },
        port: parseNumber(flags.port, defaults.port),
        reportingLagMs: parseNumber(flags["reporting-lag-ms"], defaults.reportingLagMs),
        seed: parseNumber(flags.seed, defaults.seed),
        service: flags.service,
        serviceTimeMs: parseNumber(flags["service-time-ms"], defaults.serviceTimeMs),
        slots: parseNumber(flags.slots, defaults.slots),
    };
}

const options = parseOptions(process.argv.slice(2));
if (options === undefined) {
    process.stderr.write("backend-server: --service is required.\n");
    process.exit(USAGE_EXIT_CODE);
}
const server = await startBackendServer(options);
printEvent({ event: "listening", port: server.port });
process.once("SIGTERM", () => void server.leave().then(() => process.exit(0)));
