import { readFileSync } from "node:fs";
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { DAEMON_FLAGS } from "./DaemonFlags.js";
import { collectDefaults, collectFlags } from "./FlagParsing.js";
import type { HostAndPort, ReadTextFile, SettingFinding } from "./SettingsReader.js";
import { SettingsReader } from "./SettingsReader.js";

const LOG_LEVELS = ["trace", "debug", "info", "warn", "error", "fatal"] as const;
export type LogLevel = (typeof LOG_LEVELS)[number];

/** Minimum characters of the mesh key; a shorter HMAC key could be guessed. */
const MINIMUM_MESH_KEY_LENGTH = 16;
const MINIMUM_TOKEN_LENGTH = 16;
const MAXIMUM_STOP_TIMEOUT_MS = 600_000;

/** Settings of one daemon. Every port may be 0, which selects a free one. */
export interface DaemonSettings {
    readonly id: string;
    readonly address: string;
    readonly failureDomain: string;
    readonly region: string;
    readonly requestHost: string;
    readonly requestPort: number;
    readonly relayPort: number;
    readonly peerPort: number;
    readonly controlHost: string;
    readonly controlPort: number;
    readonly storeUrl: string;
    readonly seeds: readonly HostAndPort[];
    readonly meshKey: string;
    readonly token: string;
    readonly logLevel: LogLevel;
    readonly statsd: HostAndPort | undefined;
    /** Longest wait for requests in flight at a planned stop, in milliseconds. */
    readonly stopTimeoutMs: number;
}

/** Reads the daemon's settings. `Left` holds all findings, not only the first. */
export function parseDaemonSettings(
    argv: readonly string[],
    environment: Readonly<Record<string, string | undefined>>,
    readTextFile: ReadTextFile = path => readFileSync(path, "utf8"),
): Either<readonly SettingFinding[], DaemonSettings> {
    const reader = new SettingsReader(
        collectFlags(argv, DAEMON_FLAGS),
        environment,
        collectDefaults(DAEMON_FLAGS),
        readTextFile,
    );
    reader.reportUnknownFlags(Object.keys(DAEMON_FLAGS));
    const settings: DaemonSettings = {
        address: reader.readAddress("address"),
        controlHost: reader.readAddress("control-host"),
        controlPort: reader.readPort("control-port"),
        failureDomain: reader.readName("failure-domain"),
        id: reader.readName("id"),
        logLevel: reader.readChoice("log-level", LOG_LEVELS) ?? "info",
        meshKey: reader.readSecret("mesh-key", MINIMUM_MESH_KEY_LENGTH),
        peerPort: reader.readPort("peer-port"),
        region: reader.readName("region"),
        relayPort: reader.readPort("relay-port"),
        requestHost: reader.readAddress("request-host"),
        requestPort: reader.readPort("request-port"),
        seeds: reader.readHostsAndPorts("seed"),
        statsd: reader.readHostAndPort("statsd"),
        stopTimeoutMs: reader.readInteger("stop-timeout-ms", 0, MAXIMUM_STOP_TIMEOUT_MS),
        storeUrl: reader.readUrl("store"),
        token: reader.readSecret("token", MINIMUM_TOKEN_LENGTH),
    };
    return reader.findings.length === 0 ? Right(settings) : Left(reader.findings);
}
