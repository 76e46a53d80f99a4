/** Reads the settings of the console from flags and environment variables. */
import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import type { LogLevel } from "../../../transport/logging/index.js";
import { LOG_LEVELS } from "../../../transport/logging/index.js";
import type { ReadTextFile, SettingFinding } from "../../../transport/settings/index.js";
import {
    collectDefaults,
    collectFlags,
    deriveVariableName,
    SettingsReader,
} from "../../../transport/settings/index.js";
import { CONSOLE_FLAGS } from "./ConsoleFlags.js";

/** Minimum number of characters of the mesh key and the token; shorter ones could be guessed. */
const MINIMUM_SECRET_LENGTH = 16;

const LOOPBACK_NAMES = ["localhost", "127.0.0.1", "[::1]"] as const;

export interface ConsoleSettings {
    readonly host: string;
    /** 0 selects a free port. */
    readonly port: number;
    /** Allowed values of the Host header, without port; other names would allow DNS rebinding. */
    readonly hostNames: ReadonlySet<string>;
    readonly storeUrl: string;
    readonly meshKey: string;
    /** Undefined when no token is set and one has to be generated. */
    readonly token: string | undefined;
    readonly logLevel: LogLevel;
}

type Environment = Readonly<Record<string, string | undefined>>;

function collectHostNames(host: string, listed: string): ReadonlySet<string> {
    const others = listed.split(",").map(name => name.trim().toLowerCase()).filter(name => name !== "");
    return new Set([...LOOPBACK_NAMES, host.includes(":") ? `[${host}]` : host, ...others]);
}

/** Reads the settings. `Left` contains every finding, not only the first. */
export function parseConsoleSettings(
    argv: readonly string[],
    environment: Environment,
    readTextFile: ReadTextFile,
): Either<readonly SettingFinding[], ConsoleSettings> {
    const flags = collectFlags(argv, CONSOLE_FLAGS);
    const reader = new SettingsReader(flags, environment, collectDefaults(CONSOLE_FLAGS), readTextFile);
    reader.reportUnknownFlags(Object.keys(CONSOLE_FLAGS));
    const host = reader.readAddress("console-host");
    const hasToken = environment[deriveVariableName("token")] !== undefined
        || reader.readText("token-file") !== undefined;
    const settings: ConsoleSettings = {
        host,
        logLevel: reader.readChoice("log-level", LOG_LEVELS) ?? "info",
        meshKey: reader.readSecret("mesh-key", MINIMUM_SECRET_LENGTH),
        hostNames: collectHostNames(host, reader.readText("console-names") ?? ""),
        port: reader.readPort("console-port"),
        storeUrl: reader.readUrl("store"),
        token: hasToken ? reader.readSecret("token", MINIMUM_SECRET_LENGTH) : undefined,
    };
    return reader.findings.length === 0 ? Right(settings) : Left(reader.findings);
}
