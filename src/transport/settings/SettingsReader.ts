import { isIP } from "node:net";
import { deriveVariableName } from "./DaemonFlags.js";

/** A fault in the settings, with the flag and the variable that it concerns. */
export interface SettingFinding {
    readonly setting: string;
    readonly message: string;
}

export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/** Reads a file as text; throws when it cannot be read. */
export type ReadTextFile = (path: string) => string;

const NAME_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/;
const MAXIMUM_PORT = 65_535;
const MS_PER_SECOND = 1_000;

/** Reads settings from flags, variables and defaults, in this order of precedence, and collects all findings. */
export class SettingsReader {
    readonly #findings: SettingFinding[] = [];

    constructor(
        private readonly flags: Readonly<Record<string, unknown>>,
        private readonly environment: Readonly<Record<string, string | undefined>>,
        private readonly defaults: Readonly<Record<string, string | undefined>>,
        private readonly readTextFile: ReadTextFile,
    ) {}

    get findings(): readonly SettingFinding[] {
        return this.#findings;
    }

    readText(flag: string): string | undefined {
        const given = this.flags[flag] ?? this.environment[deriveVariableName(flag)] ?? this.defaults[flag];
        return typeof given === "string" && given !== "" ? given : undefined;
    }

    /** Reads a setting that may be absent. */
    readOptional<T>(flag: string, read: (flag: string) => T): T | undefined {
        return this.readText(flag) === undefined ? undefined : read(flag);
    }

    /** Reads a list of texts with commas; empty when the setting is absent. */
    readNames(flag: string): readonly string[] {
        return (this.readText(flag) ?? "").split(",").map(name => name.trim()).filter(name => name !== "");
    }

    readRequired(flag: string): string {
        return this.readText(flag) ?? this.#report(flag, "is missing", "");
    }

    readName(flag: string): string {
        const name = this.readRequired(flag);
        return name === "" || NAME_PATTERN.test(name)
            ? name
            : this.#report(flag, `"${name}" is not a name of lower-case letters, digits, "-" and "."`, "");
    }

    readAddress(flag: string): string {
        const address = this.readRequired(flag);
        return address === "" || isIP(address) !== 0
            ? address
            : this.#report(flag, `"${address}" is not an IP address`, "");
    }

    readInteger(flag: string, minimum: number, maximum: number): number {
        const text = this.readRequired(flag);
        const value = Number(text);
        return text === "" || (Number.isInteger(value) && value >= minimum && value <= maximum)
            ? value
            : this.#report(flag, `"${text}" is not a whole number from ${minimum} to ${maximum}`, minimum);
    }

    /** Reads a number with or without a fraction. */
    readNumber(flag: string, minimum: number, maximum: number): number {
        const text = this.readRequired(flag);
        const value = Number(text);
        return text === "" || (value >= minimum && value <= maximum)
            ? value
            : this.#report(flag, `"${text}" is not a number from ${minimum} to ${maximum}`, minimum);
    }

    /** Reads a duration with its unit, for example `250ms` or `2.5s`; returns milliseconds. */
    readDuration(flag: string, longestMs: number): number {
        const text = this.readRequired(flag);
        const match = /^(\d+(?:\.\d+)?)(ms|s)$/.exec(text);
        const ms = Number(match?.[1]) * (match?.[2] === "s" ? MS_PER_SECOND : 1);
        return text === "" || ms <= longestMs
            ? ms
            : this.#report(flag, `"${text}" is not a duration such as 250ms or 2.5s of at most ${longestMs} ms`, 0);
    }

    /** Reads a port; 0 selects a free one. */
    readPort(flag: string): number {
        return this.readInteger(flag, 0, MAXIMUM_PORT);
    }

    readUrl(flag: string): string {
        const text = this.readRequired(flag);
        const isHttp = URL.canParse(text) && ["http:", "https:"].includes(new URL(text).protocol);
        return text === "" || isHttp ? text : this.#report(flag, `"${text}" is not an http or https URL`, "");
    }

    readChoice<T extends string>(flag: string, choices: readonly T[]): T | undefined {
        const text = this.readRequired(flag);
        const choice = choices.find(candidate => candidate === text);
        return text === "" || choice !== undefined
            ? choice
            : this.#report(flag, `"${text}" is none of ${choices.join(", ")}`, undefined);
    }

    readHostAndPort(flag: string): HostAndPort | undefined {
        const text = this.readText(flag);
        return text === undefined ? undefined : this.#parseHostAndPort(flag, text);
    }

    readRequiredHostAndPort(flag: string): HostAndPort {
        this.readRequired(flag);
        return this.readHostAndPort(flag) ?? { host: "", port: 0 };
    }

    readHostsAndPorts(flag: string): readonly HostAndPort[] {
        return this.readNames(flag).map(entry => this.#parseHostAndPort(flag, entry)).filter(entry =>
            entry !== undefined
        );
    }

    /** Reads a secret from the variable, or from the file that `<name>-file` names; never from a flag. */
    readSecret(name: string, minimumLength: number): string {
        const secret = this.environment[deriveVariableName(name)] ?? this.#readSecretFile(`${name}-file`);
        if (secret === undefined) {
            return this.#report(`${name}-file`, `is missing; or set ${deriveVariableName(name)}`, "");
        }
        const trimmed = secret.trim();
        return trimmed.length >= minimumLength
            ? trimmed
            : this.#report(`${name}-file`, `the secret has fewer than ${minimumLength} characters`, "");
    }

    reportUnknownFlags(known: readonly string[]): void {
        for (const flag of Object.keys(this.flags)) {
            if (!known.includes(flag)) {
                this.#findings.push({ message: "is not a flag of this program", setting: flag });
            }
        }
    }

    #readSecretFile(flag: string): string | undefined {
        const path = this.readText(flag);
        if (path === undefined) {
            return undefined;
        }
        try {
            return this.readTextFile(path);
        }
        catch (error) {
            return this.#report(flag, `${path} cannot be read: ${(error as Error).message}`, undefined);
        }
    }

    #parseHostAndPort(flag: string, text: string): HostAndPort | undefined {
        const match = /^(?:\[(?<v6>[0-9a-f:]+)\]|(?<host>[^:]+)):(?<port>\d+)$/i.exec(text);
        const host = match?.groups?.["v6"] ?? match?.groups?.["host"];
        const port = Number(match?.groups?.["port"]);
        return host !== undefined && port >= 1 && port <= MAXIMUM_PORT
            ? { host, port }
            : this.#report(flag, `"${text}" is not of the form host:port`, undefined);
    }

    #report<T>(flag: string, message: string, substitute: T): T {
        this.#findings.push({ message, setting: `--${flag} (${deriveVariableName(flag)})` });
        return substitute;
    }
}
